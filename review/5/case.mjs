/**
 * BUDGET: nodes that were restarted in turn have forgotten a request that
 * crashes upstreams, and each of them runs it again.
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
  until,
  waitUntilReady,
} from "../lib/site.mjs";

const ZONES = ["rajkot-east", "rajkot-west", "morbi-road"];
const SERVICE = "billing";
const NODES = 10;
/** The path of the request that crashes each upstream that begins to run it. */
const POISON = "/look/ledger-0000";
/** Time for which a crashed upstream is down. */
const DOWN_MS = 2_000;
/** Crashes after which the rule counts. */
const FREE_CRASHES = 3;
/** Retries that the rule allows after that. */
const MOST = 3;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, startSite }) => {
    const site = await startSite({
      zones: ZONES,
      controls: ZONES,
      nodes: Array.from(
        { length: NODES },
        (_, index) => ({ zone: ZONES[index % 3], service: SERVICE }),
      ),
    });
    const operator = createOperator(site.cores, record);
    await operator.putManifest(1, 0, [
      route("look", { service: SERVICE }),
      service(SERVICE),
      LIMITS,
    ]);
    await waitUntilReady(site.sides);
    const crashes = [];
    /** When the process of a machine last was started or stopped. */
    const disturbedAt = new Map();

    async function startAt(side, index, start) {
      const upstream = await startUpstream(side, {
        record,
        id: `i-${index + 1}-${start}`,
      });
      upstream.onRun = ({ requestId, path }) => {
        if (path !== POISON) {
          return false;
        }
        crashes.push({ at: record.now(), requestId, side: side.name });
        record.write("crash", { upstream: upstream.id, request: requestId });
        upstream.crash();
        setTimeout(() => void startAt(side, index, start + 1), DOWN_MS);
        return true;
      };
      void upstream.beat();
    }
    for (const [index, side] of site.sides.entries()) {
      await startAt(side, index, 1);
    }
    await sleep(5_000);
    const requester = createRequester(record);
    for (const side of site.sides) {
      requester.start(side, { perSecond: 8, path: (n) => `/look/${n}` });
    }
    await sleep(1_000);
    const poisonSent = [];
    async function sendPoison(side) {
      const answer = await requester.send(side, { path: POISON });
      poisonSent.push(answer);
      record.write("poison", { to: side.name, status: answer.status });
    }
    // It comes until it is held back everywhere.
    for (const side of site.sides) {
      await sendPoison(side);
      await sleep(700);
    }
    const crashesBefore = crashes.length;
    for (const side of site.sides) {
      if (TROUBLE) {
        const { exited } = side;
        disturbedAt.set(side.name, record.now());
        site.signal(side, "SIGTERM");
        await exited;
        await sleep(200);
        site.start(side);
        disturbedAt.set(side.name, record.now());
        await waitUntilReady([side]);
      }
      // The machine is in touch again before the request comes to it.
      await sleep(BOUNDS.stabilityWindowMs + 500);
      await sendPoison(side);
    }
    await sleep(1_000);
    await requester.stop();
    const third = crashes[FREE_CRASHES - 1]?.at ?? Infinity;
    const counted = crashes.filter(({ at, side }) =>
      at > third + BOUNDS.stabilityWindowMs &&
      at > (disturbedAt.get(side) ?? -Infinity) + BOUNDS.stabilityWindowMs
    );
    const broken = counted.length > MOST;
    return {
      broken,
      lines: [
        `the request came ${poisonSent.length} times; crashes before the restarts: ${crashesBefore}, in all: ${crashes.length}`,
        `retries that reached an upstream later than ${
          third + BOUNDS.stabilityWindowMs
        }, from machines in touch: ` +
        `${counted.length}, ${MOST} are allowed`,
        broken ? "BUDGET broken" : "BUDGET held",
      ],
    };
  },
);
