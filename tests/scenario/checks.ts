/**
 * What must hold at the end of a scenario, and what must hold in every one.
 * @module
 */
import type { Must } from "./language.ts";
import type { Execution } from "./fake_backend.ts";
import type { CallRecord, World } from "./world.ts";

function executionsOf(world: World): Execution[] {
  return world.vms.flatMap((vm) => vm.server.executions);
}

function between(at: number, window: { from: number; to: number }): boolean {
  return at >= window.from && at < window.to;
}

function outcomeOf(call: CallRecord): string {
  return call.reply?.outcome ?? "(no reply)";
}

/** P4, P5, P6 and P9, which hold at all times. Returns what is broken. */
export function alwaysBroken(world: World): string[] {
  const broken: string[] = [];
  const started = new Map<string, number>();
  const byKey = new Map<string, number>();
  for (const { requestId, key } of executionsOf(world)) {
    started.set(requestId, (started.get(requestId) ?? 0) + 1);
    if (key) {
      byKey.set(key, (byKey.get(key) ?? 0) + 1);
    }
  }
  for (const call of world.calls) {
    const { requestId, reply, repeatable, body } = call;
    const runs = started.get(requestId) ?? 0;
    if (!repeatable && runs > 1) {
      broken.push(`P6: ${requestId} ran ${runs} times`);
    }
    if (reply?.outcome === "not_run" && runs > 0) {
      broken.push(`P5: ${requestId} was called not run, and ran ${runs} times`);
    }
    const whole = reply?.outcome === "ran" && reply.status === 200;
    if (whole && !call.key && body !== `done ${requestId}`) {
      broken.push(`P4: ${requestId} was answered "${body}"`);
    }
  }
  for (const [key, runs] of byKey) {
    if (runs > 1) {
      broken.push(`P6: key ${key} ran ${runs} times`);
    }
  }
  for (const vm of world.vms) {
    const falls = vm.versions.some((version, index) =>
      index > 0 && version < vm.versions[index - 1]
    );
    if (falls) {
      broken.push(`P9: ${vm.name} had versions ${vm.versions.join(", ")}`);
    }
  }
  return broken;
}

function quantileOf(values: number[], quantile: number): number {
  const sorted = [...values].sort((one, other) => one - other);
  const index = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}

type Check<T> = (world: World, must: T, origin: number) => string | undefined;
type Checks = { [K in keyof Must]-?: Check<NonNullable<Must[K]>> };

function shift<T extends { from: number; to: number }>(
  window: T,
  origin: number,
): T {
  return { ...window, from: window.from + origin, to: window.to + origin };
}

const CHECKS: Checks = {
  outcome(world, { call, is, reason, status }) {
    const record = world.calls.find((one) => one.name === call);
    const found = record ? outcomeOf(record) : "(no call)";
    const fits = is.some((outcome) => outcome === found) &&
      (reason === undefined || record?.reply?.reason === reason) &&
      (status === undefined || record?.reply?.status === status);
    return fits
      ? undefined
      : `${call}: ${found} ${record?.reply?.status} ${record?.reply?.reason}`;
  },
  runs(world, { key, least, most }) {
    const runs = executionsOf(world).filter((one) => one.key === key).length;
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
      .filter((one) => between(one.at, shift(window, origin))).length;
    return count === 0
      ? undefined
      : `${count} requests started at ${domain ?? server}`;
  },
  answered(world, { least, tenant, ...window }, origin) {
    const calls = world.calls.filter((call) =>
      between(call.startedAt, shift(window, origin)) &&
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
      .filter((call) => between(call.startedAt, shift(window, origin)))
      .map((call) => call.endedAt - call.startedAt);
    const value = quantileOf(values, quantile);
    return values.length > 0 && value <= most
      ? undefined
      : `quantile ${quantile} of ${values.length} calls is ${value} ms`;
  },
  share(world, { server, most, least, ...window }, origin) {
    const all = executionsOf(world)
      .filter((one) => between(one.at, shift(window, origin)));
    const own = all.filter((one) => one.server === server);
    const share = own.length / Math.max(1, all.length);
    const fits = all.length > 0 && share <= (most ?? 1) &&
      share >= (least ?? 0);
    return fits ? undefined : `${server} had ${share} of ${all.length}`;
  },
  cold_peak(world, { server, most }) {
    const { coldPeak } = world.vm(server).server;
    return coldPeak <= most ? undefined : `${server} had ${coldPeak} at once`;
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
      : `${behind.map((vm) => vm.name)} are not at version ${newest}`;
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

/** Returns what a `must` finds broken. */
export function mustBroken(
  world: World,
  must: Must,
  origin: number,
): string[] {
  return Object.entries(must).flatMap(([name, value]) => {
    const check = CHECKS[name as keyof Must] as Check<unknown>;
    const found = check(world, value, origin);
    return found === undefined ? [] : [`${name}: ${found}`];
  });
}
