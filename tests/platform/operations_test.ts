/**
 * The walks of docs/OPERATIONS.md, from a request's id to the cause: each
 * failure is made with real sockets, and the lines are looked up as the page
 * says.
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "tap";
import { createLogger } from "../../src/core/logger.ts";
import { ask, call, startLab, startServingLab } from "./lab.ts";

const PAGE = join(
  dirname(fileURLToPath(import.meta.url)),
  "../../../docs/OPERATIONS.md",
);

/** A log in memory, and what `grep request=ID` would find in it. */
function logInMemory() {
  const lines: string[] = [];
  return {
    logger: createLogger({ write: (line) => lines.push(line) }),
    of: (id: string) => lines.filter((line) => line.includes(`request=${id}`)),
    event: (name: string) =>
      lines.filter((line) => line.includes(`event=${name}`)),
  };
}

function field(line: string | undefined, name: string): string {
  return new RegExp(` ${name}=("[^"]*"|\\S+)`).exec(line ?? "")?.[1] ?? "";
}

function named(lines: string[], event: string): string | undefined {
  return lines.find((line) => line.includes(`event=${event}`));
}

test("refused under load: which guard, what it knew, and why", async (t) => {
  const log = logInMemory();
  const lab = await startServingLab(log.logger);
  t.teardown(lab.end);
  lab.behave(() => {});
  const answers = await Promise.all(
    Array.from({ length: 60 }, async (_, index) => {
      const id = `load-${index}`;
      const got = await ask(lab, `/read/${index}`, { id });
      return { id, got };
    }),
  );
  const refused = answers.find(({ got, id }) =>
    got.status === 503 && named(log.of(id), "request.not_answered") &&
    named(log.of(id), "guard.refused")
  );
  t.ok(refused, "one was refused, and its lines were kept");
  const lines = log.of(refused?.id ?? "");
  const end = named(lines, "request.not_answered");
  t.equal(field(end, "outcome"), "not_run");
  t.match(field(end, "trail"), /vm1:/);
  t.ok(Number(field(end, "retry_after_ms")) > 0);
  const guard = named(lines, "guard.refused");
  t.ok(field(guard, "reason"));
  t.equal(field(guard, "in_flight"), field(guard, "allowed"), "it was full");
});

test("outcome unknown: what ran, and how its answer was lost", async (t) => {
  const log = logInMemory();
  const lab = await startServingLab(log.logger);
  t.teardown(lab.end);
  lab.behave((_seen, response) => response.destroy());
  const got = await ask(lab, "/pay/1", { id: "pay-1", method: "POST" });
  t.equal(got.status, 502, "nothing is promised");
  const lines = log.of("pay-1");
  t.equal(field(named(lines, "request.not_answered"), "outcome"), "unknown");
  const guard = named(lines, "guard.ran_badly");
  t.equal(field(guard, "outcome"), "unknown");
  t.match(field(guard, "cause"), /reset/);
});

test("not answered during a cut: which view was in force, and since when", async (t) => {
  const log = logInMemory();
  const lab = await startLab(log.logger);
  t.teardown(lab.end);
  const got = await ask(lab, "/read/1", { id: "early-1" });
  t.equal(got.status, 503);
  const line = named(log.of("early-1"), "request.not_answered");
  t.equal(field(line, "cause"), "not_ready");
  t.equal(field(line, "version"), "0", "no configuration was known");
});

test("the page names only events and metrics that there are", async (t) => {
  const page = readFileSync(PAGE, "utf8");
  const log = logInMemory();
  const lab = await startServingLab(log.logger);
  t.teardown(lab.end);
  await ask(lab, "/read/1");
  const local = lab.metricsAddress;
  const shown = (await call(`http://${local}/metrics`)).body;
  const metrics = [...page.matchAll(/\| `(mustardcross_\w+)/g)]
    .map(([, name]) => name);
  t.ok(metrics.length > 10, `${metrics.length} metrics on the page`);
  const sometimes = new Set(["mustardcross_guard_refusals_total"]);
  for (const name of metrics.filter((one) => !sometimes.has(one))) {
    t.ok(shown.includes(name) || log.event(name).length > 0, name);
  }
});
