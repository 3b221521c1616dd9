import { ok } from "neverthrow";
import { test } from "tap";
import { createRecorder } from "../account/events.ts";
import { createRoutePacker } from "../control/route_packing.ts";
import type { View } from "../control/view.ts";
import { silentLogger } from "../core/logger.ts";
import { createSeededRandom } from "../core/random.ts";
import { createSupervisor } from "../core/tasks.ts";
import type { Network } from "../network/channel.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import type { ControlClient } from "./control_client.ts";
import { createDirectory } from "./directory.ts";
import { createSync } from "./sync.ts";

const ROUTES = 40;

/** Creates a view with enough routes to be packed. */
function createPackedView(): View {
  const prefixes = Array.from({ length: ROUTES }, (_, number) => ({
    name: `r-${number}`,
    class: "look",
    repeatable: true,
    key: "none" as const,
    deadline_ms: 800,
    rank: 0,
    hedge: false,
    max_body_bytes: 0,
    host: "shop.example",
    prefix: `/${number}/`,
    targets: [{ service: "work", weight: 1 }],
  }));
  const routeTable = { revision: 3, prefixes, routes: [] };
  return createRoutePacker().pack({ routeTable, services: [] });
}

/** Starts the sync of a node with a replica that answers with these views. */
function startSync(views: View[]) {
  const timer = createFakeTimer();
  const directory = createDirectory();
  let selected = 0;
  const rpc = {
    call: () =>
      Promise.resolve(ok({
        confirmed: true,
        stalenessMs: 0,
        leader: "",
        replicas: [],
        fleetSize: 1,
        leaseLost: false,
        view: views.shift() ?? { services: [] },
      })),
  } as unknown as Rpc;
  const client = {
    addresses: () => ["a:1"],
    selectNextReplica: () => selected++,
    updateReplicas: () => {},
    updateLeader: () => {},
  } as unknown as ControlClient;
  const sync = createSync({
    node: "vm1",
    rpc,
    network: {} as Network,
    client,
    directory,
    recorder: createRecorder({
      source: "vm1",
      timer,
      version: () => 0,
      capacity: 1,
    }),
    timer,
    random: createSeededRandom(1),
    logger: silentLogger,
    supervisor: createSupervisor({ timer, report: () => {} }),
    renewal: () => undefined,
    onLeaseLost: () => {},
    onRegistrationFound: () => {},
  });
  sync.start();
  return { timer, directory, sync, selected: () => selected };
}

test("a malformed view does not end the syncs of a node", async (t) => {
  const malformed = { services: [], packedRoutes: "bm8gZGVmbGF0ZQ==" };
  const { timer, directory, sync, selected } = startSync([
    malformed,
    createPackedView(),
  ]);
  await timer.advance(1);
  t.notOk(sync.confirmed, "nothing of a malformed view counts");
  t.equal(selected(), 1, "another replica is asked next");
  await timer.advance(1_000);
  t.ok(sync.confirmed);
  t.equal(directory.known.routes, 3);
});
