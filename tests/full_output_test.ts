/**
 * Guards against a process that does not wait: log lines for an output that takes
 * none, since nobody reads it, are not written again and again without a pause.
 */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "tap";

const HERE = dirname(fileURLToPath(import.meta.url));
const SINK = join(HERE, "../src/core/log_sink.js");
/** More than an output that nobody reads takes. */
const LINES = 20_000;
/** Turns of the event loop in half a second; a pause of 1 ms leaves fewer. */
const MAX_TURNS = 1_000;

const SCRIPT = `
import { performance } from "node:perf_hooks";
import { createStandardOutputSink } from ${JSON.stringify(SINK)};
// A terminal or a command line library does so; a pipe no longer blocks then.
void process.stdout;
const sink = createStandardOutputSink();
for (let batch = 0; batch < 4; batch++) {
  for (let line = 0; line < ${LINES / 4}; line++) {
    sink.write("level=info event=test line=" + "x".repeat(60));
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
}
const { loopCount } = performance.nodeTiming.uvMetricsInfo;
await new Promise((resolve) => setTimeout(resolve, 500));
const turns = performance.nodeTiming.uvMetricsInfo.loopCount - loopCount;
process.send({ turns });
process.on("message", () => {});
`;

test("an output that nobody reads costs no turns, and gets its lines once it is read", async (t) => {
  const child = spawn(process.execPath, [
    "--input-type=module",
    "--eval",
    SCRIPT,
  ], {
    stdio: ["ignore", "pipe", "inherit", "ipc"],
    env: { ...process.env, NODE_OPTIONS: "" },
  });
  t.teardown(() => child.kill("SIGKILL"));
  const [{ turns }] = await once(child, "message") as [{ turns: number }];
  t.ok(turns < MAX_TURNS, `${turns} of ${MAX_TURNS} turns`);
  let bytes = 0;
  child.stdout!.on("data", (part: Buffer) => {
    bytes += part.length;
  });
  const before = 256 * 1024;
  while (bytes < before && child.exitCode === null) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  t.ok(bytes >= before, `${bytes} bytes read`);
});
