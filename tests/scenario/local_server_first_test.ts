/**
 * Nodes sent calls to other VMs though their local server was free; each such
 * call takes processor time of two nodes (issue 21).
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";

const CALLS = 100;
const WARM_UP_CALLS = 400;

/** Makes calls at an interval; returns the server that served each of them. */
async function listServingServers(
  via: string[],
  gapMs: number,
): Promise<string[]> {
  const world = await startSmallWorld({
    seed: 3,
    servers: 4,
    meanMs: 40,
    reportsLoad: true,
    coldRatePerS: 1_000,
  });
  // Servers warm up as they complete requests.
  for (let index = 0; index < WARM_UP_CALLS; index++) {
    world.call({ via: world.vms[index % 4].name, path: "/look/a" });
    await world.timer.advance(20);
  }
  const calls = [];
  for (let index = 0; index < CALLS; index++) {
    calls.push(world.call({ via: via[index % via.length], path: "/look/a" }));
    await world.timer.advance(gapMs);
  }
  await world.timer.advance(2_000);
  return calls.map(({ reply }) => reply?.server ?? "none");
}

test("a call is served by the local server while that server is free", async (t) => {
  const servers = await listServingServers(["vm2"], 30);
  const local = servers.filter((server) => server === "vm2");
  t.ok(local.length >= 0.9 * CALLS, `${local.length} of ${CALLS}`);
});

test("calls through one node alone do not saturate its local server", async (t) => {
  const servers = await listServingServers(["vm2"], 4);
  const elsewhere = servers.filter((server) => server !== "vm2");
  t.ok(
    elsewhere.length > CALLS / 4,
    `${elsewhere.length} are served by other servers`,
  );
  t.notOk(servers.includes("none"));
});
