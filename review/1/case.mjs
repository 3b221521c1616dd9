/**
 * EVAC: an order that a frozen core machine reads after it thaws undoes an
 * evacuation that was acknowledged meanwhile.
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
const EVACUATED = "morbi-road";
const FREEZE_MS = 6_300;
/** Pause between the order that takes the zone back and the next evacuation. */
const BACK_MS = 4_000;
/** Time for which requests are counted, after the bounds of the rule. */
const WATCH_MS = 6_000;
const SERVICE = "billing";

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, startSite }) => {
    const site = await startSite({
      zones: ZONES,
      controls: ["rajkot-east", "rajkot-west", "morbi-road"],
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
    const evacuated = upstreams.find(({ side }) => side.zone === EVACUATED);
    await sleep(5_000);
    const requester = createRequester(record);
    for (const side of site.sides) {
      requester.start(side, { perSecond: 15, path: (n) => `/look/${n}` });
    }
    await sleep(2_000);
    const path = `/evacuations/${EVACUATED}`;
    // The core machine that freezes follows: the leader gives up when it thaws.
    const leads = (core) => /event=replica.leads /.test(core.output);
    const frozen = site.cores.findLast((core) => !leads(core));
    const first = site.cores.indexOf(frozen);

    const out = await operator.order({ method: "POST", path }, first);
    await sleep(BOUNDS.evacuateMs);
    if (TROUBLE) {
      site.signal(frozen, "SIGSTOP");
    }
    let thawedAt = record.now();
    const thaws = sleep(FREEZE_MS).then(() => {
      thawedAt = record.now();
      return TROUBLE && site.signal(frozen, "SIGCONT");
    });
    const back = await operator.order({ method: "DELETE", path }, first);
    const backAt = record.now();
    await sleep(BACK_MS);
    const again = await operator.order(
      { method: "POST", path },
      (first + 1) % site.cores.length,
    );
    const againAt = record.now();
    await thaws;
    if ([out, back, again].some(({ status }) => status !== 200)) {
      throw new Error("an order was not acknowledged");
    }
    // The freeze makes the core unstable, which stretches the bound, and puts all
    // machines out of touch until the stability window after the thaw.
    const bindsAt = Math.max(
      againAt + BOUNDS.evacuateMs + BOUNDS.partitionMaxMs,
      thawedAt + BOUNDS.stabilityWindowMs,
    );
    await sleep(bindsAt - record.now() + WATCH_MS);
    await requester.stop();
    for (const line of frozen.output.split("\n")) {
      if (line.includes("operator.answered") && line.includes("DELETE")) {
        record.write("log", { machine: frozen.name, line });
      }
    }
    const late = evacuated.ran.filter(({ at, requestId }) =>
      at > bindsAt && requester.sent.get(requestId)?.at > bindsAt
    );
    const answered =
      [...requester.sent.values()].filter(({ status }) => status === 200)
        .length;
    return {
      broken: late.length > 0,
      lines: [
        `${requester.sent.size} requests, ${answered} answered with 200`,
        `evacuation taken back at ${backAt}, evacuated again at ${againAt}, binds from ${bindsAt}`,
        `requests that reached the evacuated zone after that: ${late.length}` +
        (late.length > 0 ? `, the first at ${late[0].at}` : ""),
        late.length > 0 ? "EVAC broken" : "EVAC held",
      ],
    };
  },
);
