/**
 * Checks the requirements of a scenario, and the invariants that hold in all.
 * @module
 */
import type { Requirement } from "./language.ts";
import type { Execution } from "./fake_backend.ts";
import type { CallRecord, World } from "./world.ts";

function allExecutions(world: World): Execution[] {
  return world.vms.flatMap((vm) => vm.server.executions);
}

function isWithin(at: number, window: { from: number; to: number }): boolean {
  return at >= window.from && at < window.to;
}

function outcomeOf(call: CallRecord): string {
  return call.reply?.outcome ?? "(no reply)";
}

/** Returns violations of the promises P4, P5, P6 and P9, which always hold. */
export function findInvariantViolations(world: World): string[] {
  const violations: string[] = [];
  const runsByRequest = new Map<string, number>();
  const runsByKey = new Map<string, number>();
  for (const { requestId, key } of allExecutions(world)) {
    runsByRequest.set(requestId, (runsByRequest.get(requestId) ?? 0) + 1);
    if (key) {
      runsByKey.set(key, (runsByKey.get(key) ?? 0) + 1);
    }
  }
  for (const call of world.calls) {
    const { requestId, reply, repeatable, body } = call;
    const runs = runsByRequest.get(requestId) ?? 0;
    if (!repeatable && runs > 1) {
      violations.push(`P6: ${requestId} ran ${runs} times`);
    }
    if (reply?.outcome === "not_run" && runs > 0) {
      violations.push(
        `P5: ${requestId} was reported as not run, but ran ${runs} times`,
      );
    }
    const succeeded = reply?.outcome === "ran" && reply.status === 200;
    if (succeeded && !call.key && body !== `done ${requestId}`) {
      violations.push(`P4: ${requestId} got the answer "${body}"`);
    }
  }
  for (const [key, runs] of runsByKey) {
    if (runs > 1) {
      violations.push(`P6: key ${key} ran ${runs} times`);
    }
  }
  for (const vm of world.vms) {
    const regressed = vm.versions.some((version, index) =>
      index > 0 && version < vm.versions[index - 1]
    );
    if (regressed) {
      violations.push(
        `P9: ${vm.name} returned to an earlier version: ${
          vm.versions.join(", ")
        }`,
      );
    }
  }
  return violations;
}

function quantileOf(values: number[], quantile: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

type Check<T> = (
  world: World,
  requirement: T,
  origin: number,
) => string | undefined;
type Checks = {
  [K in keyof Requirement]-?: Check<NonNullable<Requirement[K]>>;
};

function shiftWindow<T extends { from: number; to: number }>(
  window: T,
  origin: number,
): T {
  return { ...window, from: window.from + origin, to: window.to + origin };
}

const CHECKS: Checks = {
  outcome(world, { call, is, reason, status }) {
    const record = world.calls.find((one) => one.name === call);
    const found = record ? outcomeOf(record) : "(no call)";
    const matches = is.some((outcome) => outcome === found) &&
      (reason === undefined || record?.reply?.reason === reason) &&
      (status === undefined || record?.reply?.status === status);
    return matches
      ? undefined
      : `${call}: ${found} ${record?.reply?.status} ${record?.reply?.reason}`;
  },
  runs(world, { key, least, most }) {
    const runs = allExecutions(world).filter((one) => one.key === key).length;
    return runs >= least && runs <= most
      ? undefined
      : `key ${key} ran ${runs} times`;
  },
  crashes(world, { most }) {
    const down = world.vms.filter((vm) => !vm.server.up).length;
    return down <= most ? undefined : `${down} servers are down`;
  },
  no_work(world, { domain, server, ...window }, origin) {
    const count = world.vms
      .filter((vm) => vm.domain === domain || vm.name === server)
      .flatMap((vm) => vm.server.executions)
      .filter((one) => isWithin(one.at, shiftWindow(window, origin))).length;
    return count === 0
      ? undefined
      : `${count} requests were started at ${domain ?? server}`;
  },
  answered(world, { least, tenant, ...window }, origin) {
    const calls = world.calls.filter((call) =>
      isWithin(call.startedAt, shiftWindow(window, origin)) &&
      (tenant === undefined || call.tenant === tenant)
    );
    const answered = calls.filter((call) =>
      call.reply?.outcome === "ran" && call.reply.status === 200
    );
    const share = answered.length / calls.length;
    return calls.length > 0 && share >= least
      ? undefined
      : `${answered.length} of ${calls.length} calls were answered`;
  },
  latency(world, { quantile, most_ms: most, ...window }, origin) {
    const values = world.calls
      .filter((call) => isWithin(call.startedAt, shiftWindow(window, origin)))
      .map((call) => call.endedAt - call.startedAt);
    const value = quantileOf(values, quantile);
    return values.length > 0 && value <= most
      ? undefined
      : `quantile ${quantile} of ${values.length} calls is ${value} ms`;
  },
  share(world, { server, most, least, ...window }, origin) {
    const all = allExecutions(world)
      .filter((one) => isWithin(one.at, shiftWindow(window, origin)));
    const own = all.filter((one) => one.server === server);
    const share = own.length / Math.max(1, all.length);
    const matches = all.length > 0 && share <= (most ?? 1) &&
      share >= (least ?? 0);
    return matches
      ? undefined
      : `${server} ran a share of ${share} of ${all.length} requests`;
  },
  cold_peak(world, { server, most }) {
    const { coldPeak } = world.vm(server).server;
    return coldPeak <= most
      ? undefined
      : `${server} ran ${coldPeak} requests at once while cold`;
  },
  up(world, server) {
    return world.vm(server).server.up ? undefined : `${server} is down`;
  },
  in_force(world) {
    const newest = Math.max(
      ...world.cluster.vms.map((one) => one.control.state.version),
    );
    const behind = world.vms.filter((vm) =>
      vm.alive && vm.node.directory.version !== newest
    );
    return behind.length === 0
      ? undefined
      : `${behind.map((vm) => vm.name)} do not have version ${newest}`;
  },
  probes(world, { most_per_server_per_s: most }, origin) {
    const seconds = (world.timer.now() - origin) / 1_000;
    const probes = world.vms.reduce((sum, vm) => {
      const counters = vm.node.metrics.counters();
      return sum + (counters.probes ?? 0) + (counters.health_checks ?? 0);
    }, 0);
    const rate = probes / seconds / world.vms.length;
    return rate <= most ? undefined : `${rate} probes per server and second`;
  },
};

/** Returns the violations of a requirement. */
export function findRequirementViolations(
  world: World,
  requirement: Requirement,
  origin: number,
): string[] {
  return Object.entries(requirement).flatMap(([name, value]) => {
    const check = CHECKS[name as keyof Requirement] as Check<unknown>;
    const found = check(world, value, origin);
    return found === undefined ? [] : [`${name}: ${found}`];
  });
}
