/**
 * Runs scenarios in simulated time.
 * @module
 */
import type { Action } from "../../src/control/commands.ts";
import { createCanceller } from "../../src/core/cancellation.ts";
import { siteSchema } from "../../src/settings/site.ts";
import {
  findInvariantViolations,
  findRequirementViolations,
} from "./checks.ts";
import type { Mechanism, Scenario, Step } from "./language.ts";
import { disableMechanisms } from "./disable_mechanisms.ts";
import { createWorld, SERVICE, type World } from "./world.ts";

/** The violations found, and the world for further checks. */
export interface ScenarioResult {
  violations: string[];
  world: World;
}

/** Time after the end of the scenario in which open calls may end. */
const DRAIN_TIME_MS = 12_000;

const WARM_UP_RATE_PER_S = 200;

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

/** Merges two tables recursively; values of `upper` take precedence. */
export function mergeTables(lower: Table, upper: Table): Table {
  const result: Table = { ...lower };
  for (const [key, value] of Object.entries(upper)) {
    const below = result[key];
    result[key] = isTable(value) && isTable(below)
      ? mergeTables(below, value)
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

function setLinkCut(world: World, hosts: [string, string], cut: boolean): void {
  const [one, other] = hosts;
  world.network.link(one, other).cut = cut;
  world.network.link(other, one).cut = cut;
}

function startLoad(world: World, load: NonNullable<Step["load"]>): void {
  const { rate, for_ms: forMs, path, method, tenant, via } = load;
  const until = world.timer.now() + forMs;
  let count = 0;
  const subscription = world.timer.every(1_000 / rate, () => {
    if (world.timer.now() >= until) {
      subscription.cancel();
      return;
    }
    const alive = world.vms.filter((vm) => vm.alive && vm.node.ready);
    const chosen = via ?? alive[world.random.integer(alive.length)]?.name;
    if (chosen) {
      const callPath = path.replace("#", String(count++));
      world.call({ via: chosen, path: callPath, method, tenant });
    }
  });
}

const ACTIONS: Actions = {
  load: startLoad,
  call(world, { leaves_after_ms: leavesAfterMs, ...request }) {
    const caller = createCanceller();
    if (leavesAfterMs !== undefined) {
      world.timer.after(leavesAfterMs, caller.cancel);
    }
    world.call({ ...request, signal: caller });
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
    world.vm(name).server.truncatesBodies = true;
  },
  poison(world, text) {
    world.vms.forEach((vm) => vm.server.crashingPath = text);
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
  cut: (world, hosts) => setLinkCut(world, hosts, true),
  heal: (world, hosts) => setLinkCut(world, hosts, false),
  cut_one_way(world, [from, to]) {
    world.network.link(from, to).cut = true;
  },
  silence: (world, [one, other]) => world.network.silence(one, other),
  domain_out: (world, domain) =>
    proposeChange(world, { kind: "domain_out", domain }),
  domain_back: (world, domain) =>
    proposeChange(world, { kind: "domain_back", domain }),
  server_out: (world, server) =>
    proposeChange(world, { kind: "server_out", server }),
  server_back: (world, server) =>
    proposeChange(world, { kind: "server_back", server }),
};

/** Submits a change; the scenario continues without waiting for it. */
function proposeChange(
  world: World,
  action: Action,
): void {
  void world.cluster.propose(action);
}

/** Makes RPC fail on links whose connections are cut. */
function cutRpcWithLinks(world: World): void {
  const hostOf = (address: string): string => address.split(":")[0];
  world.rpc.decideDelivery = ({ from, to }) => ({
    lost: world.network.link(hostOf(from), hostOf(to)).cut,
    delayMs: 1,
  });
}

/** Runs a scenario; with `off`, its mechanism under test is disabled. */
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
  const site = siteSchema.parse(layers.reduce<Table>(mergeTables, BASE_SITE));
  const world = createWorld({
    seed: scenario.seed,
    site,
    servers: scenario.servers,
    shape: {
      slots: shape.slots,
      meanMs: shape.mean_ms,
      coldCompletions: shape.cold_completions,
      coldFactor: shape.cold_factor,
      coldConcurrencyLimit: shape.cold_bears,
    },
  });
  cutRpcWithLinks(world);
  const disabled: readonly Mechanism[] = options.off
    ? scenario.off.without
    : [];
  disableMechanisms(world, disabled);
  await world.start();
  if (scenario.warm_up_ms > 0) {
    const load = { rate: WARM_UP_RATE_PER_S, for_ms: scenario.warm_up_ms };
    startLoad(world, { ...load, path: "/look/warm", method: "GET" });
    await world.timer.advance(scenario.warm_up_ms);
  }
  const origin = world.timer.now();
  const steps = [...scenario.steps].sort((one, other) => one.at - other.at);
  for (const { at, ...actions } of steps) {
    await world.timer.advance(Math.max(0, origin + at - world.timer.now()));
    for (const [name, value] of Object.entries(actions)) {
      const runAction = ACTIONS[name as keyof Actions] as (
        world: World,
        value: unknown,
      ) => void;
      runAction(world, value);
    }
  }
  const end = origin + scenario.for_ms + DRAIN_TIME_MS;
  await world.timer.advance(end - world.timer.now());
  const violations = [
    ...findInvariantViolations(world),
    ...scenario.musts.flatMap((requirement) =>
      findRequirementViolations(world, requirement, origin)
    ),
  ];
  return { violations, world };
}
