import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { type Logger, silentLogger } from "./logger.ts";
import { createRequestLog, isSampled } from "./request_log.ts";

function recordingLogger(lines: string[]): Logger {
  return {
    ...silentLogger,
    info: (event, fields) => lines.push(`${event} ${fields?.request ?? ""}`),
  };
}

test("all processes log the same sample of successful requests", (t) => {
  const ids = Array.from({ length: 5_000 }, (_, index) => `request-${index}`);
  const sampled = ids.filter(isSampled);
  t.ok(
    sampled.length > 10 && sampled.length < 100,
    `${sampled.length} of 5,000 requests are sampled`,
  );
  const [first, second] = [[], []] as string[][];
  for (const lines of [first, second]) {
    const timer = createFakeTimer();
    const log = createRequestLog({ logger: recordingLogger(lines), timer });
    sampled.slice(0, 5).forEach((id) => log.logSample("ran", id, () => ({})));
    log.logSample("ran", ids.find((id) => !isSampled(id))!, () => ({}));
  }
  t.same(first, second);
  t.equal(first.length, 5);
  t.end();
});

test("failures are logged up to a rate limit, and suppressed lines are counted", async (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  const log = createRequestLog({ logger: recordingLogger(lines), timer });
  for (let count = 0; count < 500; count++) {
    log.logFailure("refused", `request-${count}`, {});
  }
  t.equal(lines.length, 20);
  await timer.advance(1_000);
  log.logFailure("refused", "later", {});
  t.same(lines.slice(20), ["log.left_out ", "refused later"]);
});

test("frequent failures displace no line about a rare failure", (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  const log = createRequestLog({ logger: recordingLogger(lines), timer });
  for (let count = 0; count < 500; count++) {
    log.logFrequentFailure("refused", `request-${count}`, () => ({}));
  }
  const refusals = lines.length;
  log.logFailure("unknown", "rare", {});
  t.equal(refusals, 4 + 8);
  t.same(lines.slice(refusals), ["unknown rare"]);
  t.end();
});

test("all processes log some of the same frequent failures", (t) => {
  const ids = Array.from({ length: 60 }, (_, index) => `request-${index}`);
  function loggedRequests(order: string[]): Set<string> {
    const lines: string[] = [];
    const timer = createFakeTimer();
    const log = createRequestLog({ logger: recordingLogger(lines), timer });
    order.forEach((id) => log.logFrequentFailure("refused", id, () => ({})));
    return new Set(lines);
  }
  const first = loggedRequests(ids);
  const second = loggedRequests([...ids.slice(20), ...ids.slice(0, 20)]);
  const both = [...first].filter((line) => second.has(line));
  t.ok(both.length >= 4, `${both.length} of ${first.size} lines are common`);
  t.end();
});
