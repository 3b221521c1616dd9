/**
 * The diagnosis procedures of docs/OPERATIONS.md, from a request id to the
 * cause. Each test provokes a failure over real sockets and looks up the log
 * lines as that page describes.
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "tap";
import { createLogger } from "../../src/core/logger.ts";
import {
  callUrl,
  sendRequest,
  startHarness,
  startServingHarness,
} from "./harness.ts";

const OPERATIONS_PAGE = join(
  dirname(fileURLToPath(import.meta.url)),
  "../../../docs/OPERATIONS.md",
);

/** Creates a logger that keeps its lines in memory, with searches in them. */
function createMemoryLog() {
  const lines: string[] = [];
  return {
    logger: createLogger({ write: (line) => lines.push(line) }),
    findByRequest: (id: string) =>
      lines.filter((line) => line.includes(`request=${id}`)),
    findByEvent: (name: string) =>
      lines.filter((line) => line.includes(`event=${name}`)),
  };
}

function getField(line: string | undefined, name: string): string {
  return new RegExp(` ${name}=("[^"]*"|\\S+)`).exec(line ?? "")?.[1] ?? "";
}

function findEvent(lines: string[], event: string): string | undefined {
  return lines.find((line) => line.includes(`event=${event}`));
}

test("refused under load: the log names the guard, its state and the reason", async (t) => {
  const log = createMemoryLog();
  const harness = await startServingHarness(log.logger);
  t.teardown(harness.stop);
  harness.setBehaviour(() => {});
  const answers = await Promise.all(
    Array.from({ length: 60 }, async (_, index) => {
      const id = `load-${index}`;
      const answer = await sendRequest(harness, `/read/${index}`, { id });
      return { id, answer };
    }),
  );
  const refused = answers.find(({ answer, id }) =>
    answer.status === 503 &&
    findEvent(log.findByRequest(id), "request.not_answered") &&
    findEvent(log.findByRequest(id), "guard.refused")
  );
  t.ok(refused, "a request was refused, and its log lines are there");
  const lines = log.findByRequest(refused?.id ?? "");
  const end = findEvent(lines, "request.not_answered");
  t.equal(getField(end, "outcome"), "not_run");
  t.match(getField(end, "trail"), /vm1:/);
  t.ok(Number(getField(end, "retry_after_ms")) > 0);
  const guard = findEvent(lines, "guard.refused");
  t.ok(getField(guard, "reason"));
  t.equal(
    getField(guard, "in_flight"),
    getField(guard, "allowed"),
    "the guard was full",
  );
});

test("unknown outcome: the log shows how the answer was lost", async (t) => {
  const log = createMemoryLog();
  const harness = await startServingHarness(log.logger);
  t.teardown(harness.stop);
  harness.setBehaviour((_request, response) => response.destroy());
  const answer = await sendRequest(harness, "/pay/1", {
    id: "pay-1",
    method: "POST",
  });
  t.equal(answer.status, 502, "not 503, which would mean that nothing ran");
  const lines = log.findByRequest("pay-1");
  t.equal(
    getField(findEvent(lines, "request.not_answered"), "outcome"),
    "unknown",
  );
  const guard = findEvent(lines, "guard.ran_badly");
  t.equal(getField(guard, "outcome"), "unknown");
  t.match(getField(guard, "cause"), /reset/);
});

test("not ready: the log shows the version of the view in use", async (t) => {
  const log = createMemoryLog();
  const harness = await startHarness(log.logger);
  t.teardown(harness.stop);
  const answer = await sendRequest(harness, "/read/1", { id: "early-1" });
  t.equal(answer.status, 503);
  const line = findEvent(log.findByRequest("early-1"), "request.not_answered");
  t.equal(getField(line, "cause"), "not_ready");
  t.equal(getField(line, "version"), "0", "no configuration is known");
});

test("the page names only existing metrics", async (t) => {
  const page = readFileSync(OPERATIONS_PAGE, "utf8");
  const log = createMemoryLog();
  const harness = await startServingHarness(log.logger);
  t.teardown(harness.stop);
  await sendRequest(harness, "/read/1");
  const local = harness.metricsAddress;
  const shown = (await callUrl(`http://${local}/metrics`)).body;
  const metrics = [...page.matchAll(/\| `(mustardcross_\w+)/g)]
    .map(([, name]) => name);
  t.ok(metrics.length > 10, `only ${metrics.length} metrics found on the page`);
  // This metric appears only once a guard has refused a request.
  const conditional = new Set(["mustardcross_guard_refusals_total"]);
  for (const name of metrics.filter((one) => !conditional.has(one))) {
    t.ok(shown.includes(name) || log.findByEvent(name).length > 0, name);
  }
});
