/**
 * Starts the program as the bundle does, and reports each WebAssembly module
 * that the process compiles on standard error.
 */
const { WebAssembly } = globalThis as unknown as {
  WebAssembly: Record<string, (...args: unknown[]) => unknown>;
};

function reportCompilation(): void {
  const [, , , from = "?"] = new Error().stack?.split("\n") ?? [];
  process.stderr.write(`compiled ${from.trim()}\n`);
}

for (const name of ["compile", "instantiate", "Module"]) {
  WebAssembly[name] = new Proxy(WebAssembly[name], {
    apply(target, self, args) {
      reportCompilation();
      return Reflect.apply(target, self, args);
    },
    construct(target, args) {
      reportCompilation();
      return Reflect.construct(target, args);
    },
  });
}

const { main } = await import("../../platform/main.ts");
await main(process.argv.slice(2));
