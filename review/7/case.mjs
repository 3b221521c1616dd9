/**
 * Machines of the core are replaced one after the other, each when the successor
 * of the one before has had its time. Checks that the manifest can still be read
 * and changed once the core has been calm again.
 * @module
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BROKEN,
  call,
  formatVersion,
  HELD,
  manifest,
  NOT_RUN,
  route,
  runCase,
  service,
  sleep,
  waitFor,
} from "../lib3/deployment.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const REPLACEMENTS = 4;
/** Time after which the empty machine comes. */
const GONE_MS = 1_000;
/** `catch_up` of the site, with a margin. */
const CATCH_UP_MS = 4_200;
const SETTLE_MS = 12_000;
/** Calm before the check: `stability_window`, then `recovery`. */
const CALM_MS = 18_000;
/** Time for which the manifest is asked for; `stability_window` at least. */
const READ_MS = 20_000;
/** Time in which a proper order has to be acknowledged. */
const ACK_MS = 4_000;

await runCase(HERE, async ({ record, trouble, start }) => {
  const deployment = await start({
    cores: ["a", "a", "b", "c", "d"],
    sidecars: [{ zone: "a", service: "desk" }],
  });
  const resources = [
    service("desk"),
    route("look", { service: "desk" }),
  ];
  async function put(version, after, forMs) {
    return await deployment.order({
      method: "PUT",
      path: "/config",
      after,
      body: manifest(version, resources),
      forMs,
    });
  }
  if (await put(1, 0, 20_000) !== 200) {
    return NOT_RUN;
  }
  deployment.endBootstrap();
  // All five have joined by then.
  await sleep(SETTLE_MS);
  let version = 1;
  /** Each zone has one spare machine. */
  const spares = ["a", "b", "c", "d"];
  for (let index = 0; index < REPLACEMENTS; index++) {
    if (!trouble) {
      await sleep(GONE_MS + CATCH_UP_MS);
      continue;
    }
    const leader = deployment.findLeader();
    if (!leader) {
      return NOT_RUN;
    }
    deployment.removeCore(leader);
    await sleep(GONE_MS);
    const zone = spares.includes(leader.zone) ? leader.zone : spares[0];
    spares.splice(spares.indexOf(zone), 1);
    deployment.addCore(zone);
    await sleep(CATCH_UP_MS);
    if (index < REPLACEMENTS - 1 && await put(version + 1, version, ACK_MS) === 200) {
      version++;
    }
  }
  await sleep(CALM_MS);
  const running = deployment.cores.filter(({ child }) => child.exitCode === null);
  record.write("check.cores", { running: running.map(({ name }) => name) });
  const acked = await put(version + 1, version, ACK_MS);
  const expected = acked === 200 ? version + 1 : version;
  const wanted = `"version":"${formatVersion(expected)}"`;
  let reads = 0;
  const came = await waitFor(async () => {
    const core = running[reads++ % running.length];
    const answer = await call(core.address("control"), { path: "/config" });
    record.write("operator.read", { core: core.name, status: answer.status });
    return answer.status === 200 && answer.text.includes(wanted);
  }, READ_MS);
  record.write("check", { acknowledged: version, changeStatus: acked, reads, came });
  console.log(
    `${running.length} of 5 core machines run; the change got ${acked || "no answer"}; ` +
      `the manifest ${came ? "came" : `did not come in ${reads} reads`}`,
  );
  return came ? HELD : BROKEN;
});
