/**
 * Starts the program as the bundle does, and tells on standard error of each
 * WebAssembly module that the process compiles.
 */
const { WebAssembly } = globalThis as unknown as {
  WebAssembly: Record<string, (...args: unknown[]) => unknown>;
};

function tell(): void {
  const [, , , from = "?"] = new Error().stack?.split("\n") ?? [];
  process.stderr.write(`compiled ${from.trim()}\n`);
}

for (const name of ["compile", "instantiate", "Module"]) {
  WebAssembly[name] = new Proxy(WebAssembly[name], {
    apply(target, self, args) {
      tell();
      return Reflect.apply(target, self, args);
    },
    construct(target, args) {
      tell();
      return Reflect.construct(target, args);
    },
  });
}

const { main } = await import("../../platform/main.ts");
await main(process.argv.slice(2));
