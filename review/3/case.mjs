/**
 * DRAIN: after a restart of the node beside it, an upstream that was
 * acknowledged as gone gets requests again, because an earlier heartbeat of it
 * arrives late.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  call,
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
/** Time from the acknowledgement until the upstream exits. */
const SERVES_ON_MS = 16_000;
/** TROUBLE=restart and TROUBLE=late make only one of the two disruptions. */
const RESTART = TROUBLE && process.env.TROUBLE !== "late";
const LATE_BEAT = TROUBLE && process.env.TROUBLE !== "restart";
/** Pause before the platform starts a process again. */
const RESTART_PAUSE_MS = 200;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, startSite }) => {
    const site = await startSite({
      zones: ZONES,
      controls: ZONES,
      nodes: ZONES.map((zone) => ({ zone, service: SERVICE })),
    });
    const operator = createOperator(site.cores, record);
    await operator.putManifest(1, 0, [
      route("look", { service: SERVICE }),
      service(SERVICE),
      LIMITS,
    ]);
    await waitUntilReady(site.sides);
    const upstreams = [];
    for (const [index, side] of site.sides.entries()) {
      const upstream = await startUpstream(side, {
        record,
        id: `i-${index + 1}`,
      });
      void upstream.beat();
      upstreams.push(upstream);
    }
    await sleep(5_000);
    const requester = createRequester(record);
    for (const side of site.sides) {
      requester.start(side, { perSecond: 15, path: (n) => `/look/${n}` });
    }
    await sleep(2_000);

    const [leaving] = upstreams;
    const { side } = leaving;
    leaving.beating = false;
    // This heartbeat is on its way for some seconds.
    const lateBeat = leaving.nextBeat("ready");
    await sleep(200);
    leaving.state = "leaving";
    const gone = await call(side.control, {
      method: "DELETE",
      path: `/instances/${leaving.id}`,
    });
    const acknowledgedAt = record.now();
    record.write("leave", { upstream: leaving.id, answer: gone.status });
    if (gone.status !== 200) {
      throw new Error("the leave was not acknowledged");
    }
    const exits = sleep(SERVES_ON_MS).then(leaving.crash);
    await sleep(300);
    let startedAt = record.now();
    if (RESTART) {
      const { exited } = side;
      site.signal(side, "SIGTERM");
      await exited;
      await sleep(RESTART_PAUSE_MS);
      site.start(side);
      startedAt = record.now();
      await waitUntilReady([side]);
    } else {
      await sleep(3_300);
    }
    if (LATE_BEAT) {
      await leaving.sendBeat(lateBeat, "late");
    }
    await exits;
    await requester.stop();
    // The machine that starts again is in touch after the stability window.
    const bindsAt = Math.max(
      acknowledgedAt + BOUNDS.drainMs,
      startedAt + BOUNDS.stabilityWindowMs,
    );
    const late = leaving.ran.filter(({ at, requestId }) =>
      at > bindsAt && requester.sent.get(requestId)?.at > bindsAt
    );
    const answered =
      [...requester.sent.values()].filter(({ status }) => status === 200)
        .length;
    return {
      broken: late.length > 0,
      lines: [
        `${requester.sent.size} requests, ${answered} answered with 200`,
        `${leaving.id} acknowledged as gone at ${acknowledgedAt}, ${
          RESTART
            ? `its node started again at ${startedAt}`
            : "its node not restarted"
        }`,
        `requests that reached it after ${bindsAt}: ${late.length}` +
        (late.length > 0 ? `, the first at ${late[0].at}` : ""),
        late.length > 0 ? "DRAIN broken" : "DRAIN held",
      ],
    };
  },
);
