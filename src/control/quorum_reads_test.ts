import { test } from "tap";
import { silentLogger } from "../core/logger.ts";
import { createCondition } from "../core/tasks.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { openFakeLog } from "./fake_log.ts";
import { createQuorumReads } from "./quorum_reads.ts";

const QUORUM_TIMEOUT_MS = 600;

async function build() {
  const timer = createFakeTimer();
  const log = await openFakeLog({ membership: { voters: [], learners: [] } });
  const controller = new AbortController();
  const quorum = { answeredAt: -1 };
  const answered = createCondition(timer);
  const reads = createQuorumReads({
    log,
    timer,
    logger: silentLogger,
    signal: controller.signal,
    answered,
    wake: () => {},
    confirmedSince: (askedAt) => quorum.answeredAt >= askedAt,
    quorumTimeoutMs: QUORUM_TIMEOUT_MS,
    pollIntervalMs: 100,
  });
  return { timer, log, controller, quorum, answered, reads };
}

test("a read waits for answers to requests that were sent after it began", async (t) => {
  const { timer, quorum, answered, reads } = await build();
  await timer.advance(50);
  quorum.answeredAt = 49;
  const result = reads.confirm(1);
  answered.notifyAll();
  t.equal(await Promise.race([result, timer.advance(10)]), undefined);
  quorum.answeredAt = 50;
  answered.notifyAll();
  t.equal(await result, 1);
});

test("a read waits for the first entry of its term", async (t) => {
  const { timer, log, quorum, answered, reads } = await build();
  quorum.answeredAt = Infinity;
  const result = reads.confirm(2);
  await timer.advance(10);
  await log.accept([{ index: 2, term: 1, logTime: 0 }]);
  log.commitTo(2);
  answered.notifyAll();
  t.equal(await result, 2);
});

test("a read that no quorum confirms resolves as undefined", async (t) => {
  const { timer, controller, answered, reads } = await build();
  const expired = reads.confirm(1);
  await timer.advance(QUORUM_TIMEOUT_MS + 100);
  t.equal(await expired, undefined);
  const interrupted = reads.confirm(1);
  controller.abort();
  answered.notifyAll();
  t.equal(await interrupted, undefined);
});
