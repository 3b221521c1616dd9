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

test("of what went well, all processes keep the same few requests", (t) => {
  const ids = Array.from({ length: 5_000 }, (_, index) => `request-${index}`);
  const kept = ids.filter(isSampled);
  t.ok(kept.length > 10 && kept.length < 100, `${kept.length} of 5,000`);
  const [one, other] = [[], []] as string[][];
  for (const lines of [one, other]) {
    const timer = createFakeTimer();
    const log = createRequestLog({ logger: recordingLogger(lines), timer });
    kept.slice(0, 5).forEach((id) => log.sample("ran", id, () => ({})));
    log.sample("ran", ids.find((id) => !isSampled(id))!, () => ({}));
  }
  t.same(one, other);
  t.equal(one.length, 5);
  t.end();
});

test("failures are kept up to a rate, and what is left out is counted", async (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  const log = createRequestLog({ logger: recordingLogger(lines), timer });
  for (let count = 0; count < 500; count++) {
    log.note("refused", `request-${count}`, {});
  }
  t.equal(lines.length, 20);
  await timer.advance(1_000);
  log.note("refused", "later", {});
  t.same(lines.slice(20), ["log.left_out ", "refused later"]);
});

test("what load makes common displaces no line about an unknown end", (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  const log = createRequestLog({ logger: recordingLogger(lines), timer });
  for (let count = 0; count < 500; count++) {
    log.noteCommon("refused", `request-${count}`, () => ({}));
  }
  const refusals = lines.length;
  log.note("unknown", "rare", {});
  t.equal(refusals, 4 + 8);
  t.same(lines.slice(refusals), ["unknown rare"]);
  t.end();
});

test("of what load makes common, processes keep some of the same requests", (t) => {
  const ids = Array.from({ length: 60 }, (_, index) => `request-${index}`);
  function keptOf(order: string[]): Set<string> {
    const lines: string[] = [];
    const timer = createFakeTimer();
    const log = createRequestLog({ logger: recordingLogger(lines), timer });
    order.forEach((id) => log.noteCommon("refused", id, () => ({})));
    return new Set(lines);
  }
  const one = keptOf(ids);
  const other = keptOf([...ids.slice(20), ...ids.slice(0, 20)]);
  const both = [...one].filter((line) => other.has(line));
  t.ok(both.length >= 4, `${both.length} of ${one.size}`);
  t.end();
});
