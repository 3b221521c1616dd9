/**
 * FAILBACK: an upstream that turns cold again while it serves gets its usual
 * rate until its next heartbeat.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  createOperator,
  createRequester,
  LIMITS,
  route,
  runCase,
  service,
  sleep,
  startUpstream,
  TROUBLE,
  waitUntilReady,
} from "../lib/site.mjs";

const ZONES = ["rajkot-east", "rajkot-west", "morbi-road"];
const SERVICE = "billing";
const WARM_WORK_MS = 40;
/** Factor by which a cold upstream is slower, as in the site file. */
const COLD_FACTOR = 2;
const COLD_MS = 3_000;
/** Requests a second to the first machine; its upstream can run 300. */
const PER_SECOND = 180;
/** Requests a second to each other machine. */
const OTHERS_PER_SECOND = 30;
/** Times at which the upstream turns cold, after the load has begun. */
const ROUNDS = 6;
const ROUND_MS = 7_000;
const WINDOW_MS = 1_000;
/** Requests in a second, twice what it tolerates, at which a cold upstream crashes. */
const CRASHES_AT = 2 * BOUNDS.coldPerS;
/** Time for which a crashed upstream is down. */
const DOWN_MS = 2_000;
const MOST = BOUNDS.coldPerS * BOUNDS.coldBurstFactor + BOUNDS.coldSlack;

/** The largest number of requests that were sent and arrived within a second. */
function busiestWindow(arrivals) {
  const counts = arrivals.map(({ at: end }) =>
    arrivals.filter(({ at, sentAt }) => sentAt >= end - WINDOW_MS && at <= end).length
  );
  return Math.max(0, ...counts);
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, startSite }) => {
  const site = await startSite({
    zones: ZONES,
    controls: ZONES,
    nodes: ZONES.map((zone) => ({ zone, service: SERVICE })),
  });
  const operator = createOperator(site.cores, record);
  await operator.putManifest(1, 0, [route("look", { service: SERVICE }), service(SERVICE), LIMITS]);
  await waitUntilReady(site.sides);
  const upstreams = [];
  const crashes = [];

  /** Starts an upstream that is cold until `coldUntil`, and crashes as PROTOCOL.md says. */
  async function startAt(index, start, coldUntil) {
    const upstream = await startUpstream(site.sides[index], {
      record,
      id: `i-${index + 1}-${start}`,
      workOf: () => upstream.coldMs() > 0 ? WARM_WORK_MS * COLD_FACTOR : WARM_WORK_MS,
    });
    upstream.coldMs = () => Math.max(0, coldUntil - record.now());
    upstream.onRun = () => {
      const since = record.now() - WINDOW_MS;
      const count = upstream.arrived.filter(({ at }) => at > Math.max(since, upstream.coldFrom ?? 0)).length;
      if (upstream.coldMs() === 0 || count < CRASHES_AT) {
        return false;
      }
      crashes.push(record.now());
      upstream.crash();
      setTimeout(() => void startAt(index, start + 1, record.now() + COLD_MS), DOWN_MS);
      return true;
    };
    void upstream.beat();
    upstreams[index] = upstream;
  }
  for (const index of site.sides.keys()) {
    await startAt(index, 1, 0);
  }
  await sleep(5_000);
  const requester = createRequester(record);
  for (const [index, side] of site.sides.entries()) {
    const perSecond = index === 0 ? PER_SECOND : OTHERS_PER_SECOND;
    requester.start(side, { perSecond, path: (n) => `/look/${n}` });
  }
  await sleep(6_000);
  const lines = [];
  let broken = false;
  for (let round = 0; round < ROUNDS; round++) {
    const [cold] = upstreams;
    const from = record.now();
    const to = from + COLD_MS;
    if (TROUBLE) {
      record.write("turns_cold", { upstream: cold.id });
      cold.coldFrom = from;
      cold.coldMs = () => Math.max(0, to - record.now());
    }
    await sleep(ROUND_MS + Math.random() * BOUNDS.heartbeatMs);
    // Only what was sent and arrived while the upstream was cold.
    const arrivals = cold.arrived
      .map(({ at, requestId }) => ({ at, sentAt: requester.sent.get(requestId)?.at }))
      .filter(({ at, sentAt }) => sentAt >= from && at <= to);
    const most = TROUBLE ? busiestWindow(arrivals) : 0;
    broken ||= most > MOST;
    lines.push(`${cold.id}: cold from ${from} to ${to}: at most ${most} requests in a second, ${MOST} are allowed`);
  }
  await requester.stop();
  const answered = [...requester.sent.values()].filter(({ status }) => status === 200).length;
  return {
    broken,
    lines: [
      `${requester.sent.size} requests, ${answered} answered with 200`,
      ...(TROUBLE ? lines : ["no upstream was cold"]),
      `crashes of the cold upstream: ${crashes.length}`,
      broken ? "FAILBACK broken" : "FAILBACK held",
    ],
  };
});
