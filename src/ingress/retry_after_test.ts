import { test } from "tap";
import { createSeededRandom, type Random } from "../core/random.ts";
import { retryAfterStart } from "./retry_after.ts";

const CALLERS = 500;
const BUDGET_MS = 2_000;
const RETRIES = 2;
/** Longest time that a caller waits as asked, as a share of its time left. */
const HONOURED_SHARE = 1 / 3;

/**
 * Returns the share of the callers of a node's first second that are served, if
 * the node can serve from `readyAtMs` on.
 */
function servedShare(
  readyAtMs: number,
  { random, retryAfter }: { random: Random; retryAfter: () => number },
): { share: number; returns: number[] } {
  const returns: number[] = [];
  let served = 0;
  for (let caller = 0; caller < CALLERS; caller++) {
    const startedAt = readyAtMs * random.fraction();
    let at = startedAt;
    for (let tries = 0; tries < RETRIES && at < readyAtMs; tries++) {
      const leftMs = startedAt + BUDGET_MS - at;
      at += Math.min(retryAfter(), leftMs * HONOURED_SHARE);
      returns.push(at);
    }
    served += at >= readyAtMs ? 1 : 0;
  }
  return { share: served / CALLERS, returns };
}

test("callers of a node that starts are served once it is ready", (t) => {
  const random = createSeededRandom(3);
  const retryAfter = () => retryAfterStart(random);
  for (const readyAtMs of [300, 700, 1_000]) {
    const { share } = servedShare(readyAtMs, { random, retryAfter });
    t.ok(share >= 0.9, `${share} are served by a node ready at ${readyAtMs}`);
  }
  t.end();
});

test("callers of a node that starts come back spread out", (t) => {
  const random = createSeededRandom(5);
  const times = Array.from({ length: CALLERS }, () => retryAfterStart(random));
  const width = Math.max(...times) - Math.min(...times);
  t.ok(width >= 200, `within ${width} ms`);
  t.end();
});
