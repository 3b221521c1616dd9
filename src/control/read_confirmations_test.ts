import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { sleep } from "../time/timer.ts";
import { createReadConfirmations } from "./read_confirmations.ts";

const READS = 200;
const HOLD_MS = 500;

/** Confirmations by a leader that takes `leaderMs` and leads from a time on. */
function build(options: { leadsAt: number; leaderMs?: number }) {
  const timer = createFakeTimer();
  const stopping = new AbortController();
  const begunAt: number[] = [];
  const startedAt = timer.now();
  const reads = createReadConfirmations({
    timer,
    signal: stopping.signal,
    async confirmOnce() {
      begunAt.push(timer.now());
      const leads = timer.now() - startedAt >= options.leadsAt;
      await sleep(timer, leads ? options.leaderMs ?? 3 : 0);
      return leads;
    },
  });
  return { timer, reads, stopping, begunAt };
}

test("reads that come together share one confirmation", async (t) => {
  const { timer, reads, begunAt } = build({ leadsAt: 0 });
  const all = Array.from({ length: READS }, () => reads.confirm(HOLD_MS));
  await timer.advance(20);
  t.same(new Set(await Promise.all(all)), new Set([true]));
  t.equal(begunAt.length, 1);
});

test("a read does not share a confirmation that began before it", async (t) => {
  const { timer, reads, begunAt } = build({ leadsAt: 0, leaderMs: 50 });
  const first = reads.confirm(HOLD_MS);
  await timer.advance(10);
  const askedAt = timer.now();
  const second = reads.confirm(HOLD_MS);
  await timer.advance(100);
  t.ok(await first);
  t.ok(await second);
  t.equal(begunAt.length, 2);
  t.ok(begunAt[1] >= askedAt);
});

test("reads wait for a leader, and are confirmed soon after it leads", async (t) => {
  const { timer, reads, begunAt } = build({ leadsAt: 300 });
  const all: Promise<boolean>[] = [];
  for (let count = 0; count < READS; count++) {
    all.push(reads.confirm(HOLD_MS));
    await timer.advance(1);
  }
  let ended = 0;
  all.forEach((read) => void read.then(() => ended++));
  await timer.advance(90);
  t.equal(ended, 0);
  await timer.advance(50);
  t.equal(ended, READS, "all are confirmed within 40 ms");
  t.ok(begunAt.length < READS, `${begunAt.length} questions to the leader`);
});

test("a read without a leader ends unconfirmed after its wait", async (t) => {
  const { timer, reads } = build({ leadsAt: Infinity });
  const held = reads.confirm(HOLD_MS);
  const short = reads.confirm(0);
  await timer.advance(30);
  t.equal(await short, false);
  await timer.advance(HOLD_MS);
  t.equal(await held, false);
});

test("a stop ends the wait", async (t) => {
  const { timer, reads, stopping } = build({ leadsAt: Infinity });
  const held = reads.confirm(HOLD_MS);
  await timer.advance(10);
  stopping.abort();
  await timer.advance(30);
  t.equal(await held, false);
});
