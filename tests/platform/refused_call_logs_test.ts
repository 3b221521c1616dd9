/**
 * Guards against log lines without end: anyone may send a node calls that it
 * refuses, with paths of kilobytes.
 */
import { test } from "tap";
import { createLogger } from "../../src/core/logger.ts";
import { callUrl, startServingHarness } from "./harness.ts";

const CALLS = 60;
/** Lines of the seconds that the calls take, at five a second. */
const MAX_LINES = 30;
const MAX_LINE_LENGTH = 600;

test("refused calls of servers are logged as warnings, few and short", async (t) => {
  const lines: string[] = [];
  const harness = await startServingHarness(
    createLogger({ write: (line) => lines.push(line) }),
  );
  t.teardown(harness.stop);
  for (let call = 0; call < CALLS; call++) {
    const path = `/instances/i-other/${"x".repeat(4_000)}`;
    const { status } = await callUrl(`${harness.nodeApi}${path}`);
    t.equal(status, 404);
  }
  const refused = lines.filter((line) => line.includes("server.call_refused"));
  t.ok(refused.length > 0 && refused.length < MAX_LINES, `${refused.length}`);
  t.ok(refused.every((line) => line.includes("level=warn")));
  t.ok(refused.every((line) => line.length < MAX_LINE_LENGTH));
});
