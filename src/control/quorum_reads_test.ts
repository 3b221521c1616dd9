import { test } from "tap";
import { silentLogger } from "../core/logger.ts";
import { createBell } from "../core/tasks.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { openFakeLog } from "./fake_log.ts";
import { createQuorumReads } from "./quorum_reads.ts";

const WAIT_MS = 600;

async function build() {
  const timer = createFakeTimer();
  const log = await openFakeLog({ membership: { voters: [], learners: [] } });
  const ending = new AbortController();
  const quorum = { answeredAt: -1 };
  const answered = createBell(timer);
  const reads = createQuorumReads({
    log,
    timer,
    logger: silentLogger,
    signal: ending.signal,
    answered,
    wake: () => {},
    confirmedSince: (asked) => quorum.answeredAt >= asked,
    waitMs: WAIT_MS,
    lookMs: 100,
  });
  return { timer, log, ending, quorum, answered, reads };
}

test("a read waits for answers to requests that were sent after it", async (t) => {
  const { timer, quorum, answered, reads } = await build();
  await timer.advance(50);
  quorum.answeredAt = 49;
  const result = reads.confirm(1);
  answered.ring();
  t.equal(await Promise.race([result, timer.advance(10)]), undefined);
  quorum.answeredAt = 50;
  answered.ring();
  t.equal(await result, 1);
});

test("a read waits for the first entry of its term", async (t) => {
  const { timer, log, quorum, answered, reads } = await build();
  quorum.answeredAt = Infinity;
  const result = reads.confirm(2);
  await timer.advance(10);
  await log.accept([{ index: 2, term: 1, logTime: 0 }]);
  log.commitTo(2);
  answered.ring();
  t.equal(await result, 2);
});

test("a read that no quorum confirms is told nothing", async (t) => {
  const { timer, ending, answered, reads } = await build();
  const late = reads.confirm(1);
  await timer.advance(WAIT_MS + 100);
  t.equal(await late, undefined);
  const cut = reads.confirm(1);
  ending.abort();
  answered.ring();
  t.equal(await cut, undefined);
});
