/**
 * Runs a scenario on a test's clock.
 * @module
 */
import type { Action } from "../../src/control/commands.ts";
import { createCanceller } from "../../src/core/cancellation.ts";
import { siteSchema } from "../../src/settings/site.ts";
import { alwaysBroken, mustBroken } from "./checks.ts";
import type { Scenario, Step, Without } from "./language.ts";
import { takeAway } from "./without.ts";
import { createWorld, SERVICE, type World } from "./world.ts";

/** What was found broken, and the world for a closer look. */
export interface ScenarioResult {
  broken: string[];
  world: World;
}

/** Time after the last step in which calls may end. */
const SETTLE_MS = 12_000;

const WARM_UP_RATE = 200;

const BASE_SITE = {
  name: "scenario",
  services: {
    [SERVICE]: {
      team: "work",
      slots: 8,
      cold_limit: 2,
      queue_limit: 8,
      routes: {
        look: {
          path: "/look/*",
          class: "look",
          repeatable: true,
          deadline_ms: 1_000,
        },
        pay: {
          method: "POST",
          path: "/pay/*",
          class: "pay",
          repeatable: false,
          key: "optional",
          deadline_ms: 3_000,
        },
      },
    },
  },
};

type Table = Record<string, unknown>;

function isTable(value: unknown): value is Table {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Lays one table over another, key by key. */
export function layOver(lower: Table, upper: Table): Table {
  const result: Table = { ...lower };
  for (const [key, value] of Object.entries(upper)) {
    const below = result[key];
    result[key] = isTable(value) && isTable(below)
      ? layOver(below, value)
      : value;
  }
  return result;
}

type Actions = {
  [K in keyof Omit<Step, "at">]-?: (
    world: World,
    value: NonNullable<Step[K]>,
  ) => void;
};

function setCut(world: World, hosts: [string, string], cut: boolean): void {
  const [one, other] = hosts;
  world.network.link(one, other).cut = cut;
  world.network.link(other, one).cut = cut;
}

function startLoad(world: World, load: NonNullable<Step["load"]>): void {
  const { rate, for_ms: forMs, path, method, tenant, via } = load;
  const until = world.timer.now() + forMs;
  let count = 0;
  const ticking = world.timer.every(1_000 / rate, () => {
    if (world.timer.now() >= until) {
      ticking.cancel();
      return;
    }
    const alive = world.vms.filter((vm) => vm.alive && vm.node.ready);
    const chosen = via ?? alive[world.random.integer(alive.length)]?.name;
    if (chosen) {
      const own = path.replace("#", String(count++));
      world.call({ via: chosen, path: own, method, tenant });
    }
  });
}

const ACTIONS: Actions = {
  load: startLoad,
  call(world, { leaves_after_ms: leavesAfterMs, ...order }) {
    const leaving = createCanceller();
    if (leavesAfterMs !== undefined) {
      world.timer.after(leavesAfterMs, leaving.cancel);
    }
    world.call({ ...order, signal: leaving });
  },
  crash_server: (world, name) => world.vm(name).server.crash(),
  start_server: (world, name) => world.vm(name).server.start(),
  leave_server(world, name) {
    const vm = world.vm(name);
    vm.announcing = false;
    void vm.node.leave(vm.server.boot);
  },
  turn_cold: (world, name) => world.vm(name).server.turnCold(),
  hang_server(world, name) {
    world.vm(name).server.hangs = true;
  },
  slow(world, { server, factor }) {
    world.vm(server).server.slowness = factor;
  },
  fail(world, { server, status }) {
    world.vm(server).server.failStatus = status || undefined;
  },
  cut_bodies(world, name) {
    world.vm(name).server.cutsBodies = true;
  },
  poison(world, text) {
    world.vms.forEach((vm) => vm.server.poison = text);
  },
  kill_node: (world, name) => world.killNode(name),
  start_node(world, name) {
    if (!world.vm(name).alive) {
      void world.startNode(name);
    }
  },
  stop_node(world, name) {
    const vm = world.vm(name);
    vm.announcing = false;
    void vm.node.drain().then(() => vm.node.stop()).then(() => {
      world.killNode(name);
    });
  },
  kill_leader(world) {
    const leader = world.cluster.leader();
    if (leader) {
      world.cluster.kill(leader.name);
    }
  },
  kill_control: (world, name) => world.cluster.kill(name),
  start_control(world, name) {
    if (!world.cluster.vm(name).alive) {
      void world.cluster.start(name);
    }
  },
  lose_disk: (world, name) => world.cluster.vm(name).disk.wipe(),
  cut: (world, hosts) => setCut(world, hosts, true),
  heal: (world, hosts) => setCut(world, hosts, false),
  cut_one_way(world, [from, to]) {
    world.network.link(from, to).cut = true;
  },
  silence: (world, [one, other]) => world.network.silence(one, other),
  domain_out: (world, domain) => begin(world, { kind: "domain_out", domain }),
  domain_back: (world, domain) => begin(world, { kind: "domain_back", domain }),
  server_out: (world, server) => begin(world, { kind: "server_out", server }),
  server_back: (world, server) => begin(world, { kind: "server_back", server }),
};

/** Begins a change; scenarios go on while it is made. */
function begin(
  world: World,
  action: Action,
): void {
  void world.cluster.propose(action);
}

/** Cuts calls along with connections. */
function joinNetworks(world: World): void {
  const hostOf = (address: string): string => address.split(":")[0];
  world.rpc.fate = ({ from, to }) => ({
    lost: world.network.link(hostOf(from), hostOf(to)).cut,
    delayMs: 1,
  });
}

/** Runs a scenario, with its mechanism or without. */
export async function runScenario(
  scenario: Scenario,
  options: { off: boolean },
): Promise<ScenarioResult> {
  const { shape } = scenario;
  const layers = [
    { domains: scenario.domains },
    scenario.site,
    options.off ? scenario.off.site : {},
  ];
  const site = siteSchema.parse(layers.reduce<Table>(layOver, BASE_SITE));
  const world = createWorld({
    seed: scenario.seed,
    site,
    servers: scenario.servers,
    shape: {
      slots: shape.slots,
      meanMs: shape.mean_ms,
      coldCompletions: shape.cold_completions,
      coldFactor: shape.cold_factor,
      coldBears: shape.cold_bears,
    },
  });
  joinNetworks(world);
  const without: readonly Without[] = options.off ? scenario.off.without : [];
  takeAway(world, without);
  await world.begin();
  if (scenario.warm_up_ms > 0) {
    const load = { rate: WARM_UP_RATE, for_ms: scenario.warm_up_ms };
    startLoad(world, { ...load, path: "/look/warm", method: "GET" });
    await world.timer.advance(scenario.warm_up_ms);
  }
  const origin = world.timer.now();
  const steps = [...scenario.steps].sort((one, other) => one.at - other.at);
  for (const { at, ...actions } of steps) {
    await world.timer.advance(Math.max(0, origin + at - world.timer.now()));
    for (const [name, value] of Object.entries(actions)) {
      const act = ACTIONS[name as keyof Actions] as (
        world: World,
        value: unknown,
      ) => void;
      act(world, value);
    }
  }
  const end = origin + scenario.for_ms + SETTLE_MS;
  await world.timer.advance(end - world.timer.now());
  const broken = [
    ...alwaysBroken(world),
    ...scenario.musts.flatMap((must) => mustBroken(world, must, origin)),
  ];
  return { broken, world };
}
