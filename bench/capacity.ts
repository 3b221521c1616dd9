/**
 * Slopes from which docs/CAPACITY.md is worked out: processor time, bytes and
 * memory of control and nodes at growing sizes, on this machine.
 *
 * `node --expose-gc dist/bench/capacity.js`
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Packr } from "msgpackr";
import type { Member } from "../src/control/commands.ts";
import {
  claimMethod,
  registerMethod,
  syncMethod,
} from "../src/control/node_methods.ts";
import { type ControlState, createControlState } from "../src/control/state.ts";
import { freePorts } from "../src/demo/ports.ts";
import { createDirectory } from "../src/node/directory.ts";
import { createGrpcRpc } from "../src/rpc/grpc_rpc.ts";
import type { Rpc } from "../src/rpc/rpc.ts";
import { loadSite } from "../src/settings/load.ts";
import { type Site, siteSchema } from "../src/settings/site.ts";
import { prepareHashes } from "../src/core/hash.ts";

// Hashes are used from the first record on.
await prepareHashes();

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const EXAMPLES = join(HERE, "../../examples");
const TICKS_PER_SECOND = 100;
const CALL_MS = 3_000;
const UPSTREAMS = 4_600;
const SERVICES = 570;
const packr = new Packr({ useRecords: false });

function say(line: string): void {
  process.stdout.write(line + "\n");
}

/** Processor time of a process in milliseconds, from the kernel's count. */
function processorMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
    .split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1_000 / TICKS_PER_SECOND;
}

function residentMiB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

/** Slope and spread of a straight line through points. */
function fit(points: [number, number][]): string {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce(
    (s, [x, y]) => s + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((s, [x]) => s + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const worst = Math.max(
    ...points.map(([x, y]) => Math.abs(y - meanY - slope * (x - meanX))),
  );
  return `slope ${slope.toFixed(4)}, worst residual ${worst.toFixed(2)}`;
}

function bigSite(): Site {
  const services = Object.fromEntries(
    Array.from({ length: SERVICES }, (_, index) => [`s${index}`, {
      team: `t${index % 60}`,
      routes: {
        get: {
          path: `/s${index}/:id`,
          class: "lookup",
          repeatable: true,
          hedge: true,
        },
        post: {
          method: "POST",
          path: `/s${index}`,
          class: "submit",
          repeatable: false,
          key: "required",
        },
      },
    }]),
  );
  const domains = Array.from({ length: 7 }, (_, index) => `d${index}`);
  return siteSchema.parse({ name: "plan", domains, services });
}

/** A state with the plan's site accepted as its first entry. */
function configuredState(): ControlState {
  const state = createControlState();
  state.apply({
    index: 1,
    logTime: 0,
    command: {
      kind: "change",
      changeId: "c",
      operator: "o",
      against: 0,
      force: false,
      wallTime: 0,
      action: { kind: "configure", site: bigSite() },
    },
  });
  return state;
}

function memberOf(index: number, services = SERVICES): Member {
  return {
    server: `vm${index}`,
    service: `s${index % services}`,
    domain: `d${index % 7}`,
    region: `r${index % 2}`,
    address: `10.0.${index >> 8}.${index & 255}:7000`,
    incarnation: "0123456789abcdef",
    boot: "fedcba9876543210",
    slots: 12,
    leaving: false,
  };
}

/** State, views and snapshots at the size of the plan, in this process. */
function measureState(): void {
  say("## State, views and snapshots (in one process)");
  const points: [number, number][] = [];
  for (const members of [1_000, 2_000, 4_600]) {
    const state = configuredState();
    let index = 2;
    const apply = (command: unknown): unknown =>
      state.apply({ index: index++, logTime: 0, command });
    for (let number = 0; number < members; number++) {
      apply({
        kind: "register",
        member: memberOf(number),
        expectedRevision: 0,
      });
    }
    const startedAt = performance.now();
    const bytes = state.snapshot().length;
    const tookMs = performance.now() - startedAt;
    points.push([members, bytes]);
    const view = state.viewSince({
      global: 0,
      routes: 0,
      services: { s0: 0 },
    });
    say(
      `members ${members}: snapshot ${bytes} B in ${tookMs.toFixed(1)} ms, ` +
        `global view ${packr.pack(view.global).length} B, ` +
        `route table ${packr.pack(view.routeTable).length} B, ` +
        `service view ${packr.pack(view.services[0]).length} B`,
    );
  }
  say(`snapshot bytes for each member: ${fit(points)}`);
  const claims: [number, number][] = [];
  for (const count of [20_000, 50_000, 100_000]) {
    const state = configuredState();
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const startedAt = performance.now();
    for (let number = 0; number < count; number++) {
      state.apply({
        index: number + 2,
        logTime: number,
        command: {
          kind: "claim",
          key: `s0\ndefault\nkey-${number}`,
          requestHash: "0123456789abcdef",
          claimant: "0123456789abcdef 0123456789abcdef",
          server: `vm${number % UPSTREAMS}`,
          address: "10.0.0.1:7000",
          incarnation: "0123456789abcdef",
        },
      });
    }
    const tookMs = performance.now() - startedAt;
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - before;
    const snapshotAt = performance.now();
    const bytes = state.snapshot().length;
    claims.push([count, bytes]);
    say(
      `claims ${count}: apply ${(tookMs / count * 1e3).toFixed(1)} us each, ` +
        `heap ${(heap / count).toFixed(0)} B each, snapshot ${bytes} B in ` +
        `${(performance.now() - snapshotAt).toFixed(0)} ms`,
    );
  }
  say(`snapshot bytes for each claim: ${fit(claims)}`);
}

/** Memory of a node's directory. */
function measureDirectory(): void {
  say("\n## Directory of a node (in one process)");
  const state = configuredState();
  for (let number = 0; number < UPSTREAMS; number++) {
    state.apply({
      index: number + 2,
      logTime: 0,
      command: {
        kind: "register",
        member: memberOf(number),
        expectedRevision: 0,
      },
    });
  }
  const points: [number, number][] = [];
  for (const services of [10, 50, 200, 570]) {
    const names = Array.from({ length: services }, (_, index) => `s${index}`);
    const known = {
      global: 0,
      routes: 0,
      services: Object.fromEntries(names.map((n) => [n, 0])),
    };
    const bytes = packr.pack(state.viewSince(known));
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const directory = createDirectory();
    names.forEach((name) => directory.subscribe(name));
    const startedAt = performance.now();
    directory.apply(packr.unpack(bytes));
    const tookMs = performance.now() - startedAt;
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - before;
    points.push([services, heap / 1_024]);
    say(
      `services ${services}: first view ${bytes.length} B, applied in ` +
        `${tookMs.toFixed(1)} ms, heap ${(heap / 1_024).toFixed(0)} KiB`,
    );
  }
  say(`heap KiB for each service: ${fit(points)}`);
}

interface ControlFleet {
  addresses: string[];
  pids: number[];
  end(): void;
}

async function startControls(count: number): Promise<ControlFleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-capacity-"));
  const ports = await freePorts(count * 2);
  const addresses = ports.slice(0, count).map((port) => `${HOST}:${port}`);
  writeFileSync(join(folder, "tokens"), "bench bench-token\n");
  const children: ChildProcess[] = addresses.map((address, index) => {
    const file = join(folder, `c${index}.toml`);
    const founders = addresses.map((one, n) => `c${n} = "${one}"`).join("\n");
    writeFileSync(
      file,
      `vm = "c${index}"\ndomain = "d"\n` +
        `control_addresses = ${JSON.stringify(addresses)}\n[control]\n` +
        `rpc_address = "${address}"\n` +
        `admin_address = "${HOST}:${ports[count + index]}"\n` +
        `token_file = "${join(folder, "tokens")}"\n` +
        `data = "${join(folder, `c${index}`)}"\n` +
        `[control.founders]\n${founders}\n`,
    );
    return spawn(process.execPath, [MAIN, "control", "--settings", file], {
      stdio: "ignore",
    });
  });
  const end = (): void => {
    children.forEach((child) => child.kill("SIGKILL"));
    rmSync(folder, { recursive: true, force: true });
  };
  const site = loadSite(
    join(EXAMPLES, "base.toml"),
    join(EXAMPLES, "rajkot.toml"),
  )._unsafeUnwrap().site;
  const deadline = Date.now() + 20_000;
  while (Date.now() < deadline) {
    const applied = spawn(process.execPath, [
      MAIN,
      "apply",
      join(EXAMPLES, "base.toml"),
      join(EXAMPLES, `${site.name}.toml`),
      "--admin",
      `${HOST}:${ports[count]}`,
    ], {
      stdio: "ignore",
      env: { ...process.env, MUSTARDCROSS_TOKEN: "bench-token" },
    });
    const code = await new Promise((resolve) => applied.once("exit", resolve));
    if (code === 0) {
      return { addresses, pids: children.map((child) => child.pid ?? 0), end };
    }
  }
  end();
  throw new Error("control did not become ready");
}

/** Sends calls at a steady rate for a while; returns their latencies. */
async function steadily(
  rate: number,
  seconds: number,
  call: (number: number) => Promise<unknown>,
): Promise<number[]> {
  const latencies: number[] = [];
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let number = 0; number < rate * seconds; number++) {
    const wait = startedAt + number * 1_000 / rate - performance.now();
    if (wait > 1) {
      await new Promise((resolve) => setTimeout(resolve, wait));
    }
    const sentAt = performance.now();
    running.push(
      call(number).then(() => {
        latencies.push(performance.now() - sentAt);
      }),
    );
  }
  await Promise.all(running);
  return latencies.sort((one, other) => one - other);
}

function quantiles(values: number[]): string {
  const at = (share: number): string =>
    (values[Math.floor(values.length * share)] ?? NaN).toFixed(1);
  return `p50 ${at(0.5)} ms, p99 ${at(0.99)} ms`;
}

function syncRequest(number: number) {
  return {
    node: `vm${number % UPSTREAMS}`,
    known: {
      global: 1_000_000,
      routes: 1_000_000,
      services: { billing: 1_000_000, records: 1_000_000 },
    },
    confirm: false,
    renewal: { server: `vm${number % UPSTREAMS}`, incarnation: "i" },
    events: [],
  };
}

/** Processor time that a replica spends on nodes that ask for news. */
async function measureSyncs(rpc: Rpc): Promise<void> {
  say("\n## Nodes asking one replica for news (one control process)");
  const fleet = await startControls(1);
  try {
    const [pid] = fleet.pids;
    const points: [number, number][] = [];
    for (const rate of [0, 200, 400, 800, 1_600]) {
      const seconds = 5;
      const before = processorMs(pid);
      const latencies = rate === 0
        ? await new Promise<number[]>((resolve) =>
          setTimeout(() => resolve([]), seconds * 1_000)
        )
        : await steadily(rate, seconds, (number) =>
          rpc.call({
            peer: fleet.addresses[0],
            method: syncMethod,
            request: syncRequest(number),
            timeoutMs: CALL_MS,
          }));
      const spent = (processorMs(pid) - before) / seconds;
      points.push([rate, spent]);
      say(
        `${rate} syncs/s: ${spent.toFixed(1)} ms processor/s, ` +
          `${residentMiB(pid).toFixed(0)} MiB, ${quantiles(latencies)}`,
      );
    }
    say(`ms of processor time for each sync: ${fit(points)}`);
    const reply = await rpc.call({
      peer: fleet.addresses[0],
      method: syncMethod,
      request: syncRequest(1),
      timeoutMs: CALL_MS,
    });
    const request = packr.pack(syncRequest(1)).length;
    const answer = packr.pack(reply.isOk() ? reply.value : null).length;
    say(`a sync request is ${request} B, a reply without news ${answer} B`);
  } finally {
    fleet.end();
  }
}

/** Processor time and memory of a node that serves nobody. */
async function measureIdleNode(): Promise<void> {
  say("\n## A node without calls (one control process, one node process)");
  const fleet = await startControls(1);
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-node-"));
  const [caller, peer, local] = await freePorts(3);
  const file = join(folder, "node.toml");
  writeFileSync(
    file,
    `vm = "vm1"\ndomain = "race-course"\n` +
      `control_addresses = ${JSON.stringify(fleet.addresses)}\n[node]\n` +
      `caller_address = "${HOST}:${caller}"\n` +
      `peer_address = "${HOST}:${peer}"\n` +
      `local_address = "${HOST}:${local}"\n`,
  );
  const node = spawn(process.execPath, [MAIN, "node", "--settings", file], {
    stdio: "ignore",
  });
  const pid = node.pid ?? 0;
  const wait = (ms: number): Promise<void> =>
    new Promise((resolve) => setTimeout(resolve, ms));
  try {
    await wait(4_000);
    for (let round = 0; round < 3; round++) {
      const before = processorMs(pid);
      await wait(5_000);
      const spent = (processorMs(pid) - before) / 5;
      say(
        `${spent.toFixed(1)} ms processor/s, ${
          residentMiB(pid).toFixed(0)
        } MiB`,
      );
    }
  } finally {
    node.kill("SIGKILL");
    fleet.end();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Processor time of leader and followers for entries of the log. */
async function measureEntries(rpc: Rpc): Promise<void> {
  say("\n## Entries of the log (three control processes)");
  const fleet = await startControls(3);
  try {
    let leader = fleet.addresses[0];
    const claim = async (number: number): Promise<void> => {
      const reply = await rpc.call({
        peer: leader,
        method: claimMethod,
        request: {
          kind: "claim" as const,
          key:
            `billing\ndefault\n${process.pid}-${performance.now()}-${number}`,
          requestHash: "0123456789abcdef",
          claimant: `c${number}`,
          server: "vm1",
          address: "10.0.0.1:7000",
          incarnation: "i",
        },
        timeoutMs: CALL_MS,
      });
      if (reply.isOk() && reply.value.kind !== "done" && reply.value.leader) {
        leader = reply.value.leader;
      }
    };
    await steadily(20, 1, claim);
    const leaderPid = fleet.pids[fleet.addresses.indexOf(leader)];
    const followerPid = fleet.pids.find((pid) => pid !== leaderPid)!;
    const leaderPoints: [number, number][] = [];
    const followerPoints: [number, number][] = [];
    for (const rate of [0, 100, 400, 1_000]) {
      const seconds = 5;
      const before = [leaderPid, followerPid].map(processorMs);
      const latencies = rate === 0
        ? await new Promise<number[]>((resolve) =>
          setTimeout(() => resolve([]), seconds * 1_000)
        )
        : await steadily(rate, seconds, claim);
      const [led, followed] = [leaderPid, followerPid].map((pid, index) =>
        (processorMs(pid) - before[index]) / seconds
      );
      leaderPoints.push([rate, led]);
      followerPoints.push([rate, followed]);
      say(
        `${rate} claims/s: leader ${led.toFixed(1)}, follower ` +
          `${followed.toFixed(1)} ms processor/s, ${quantiles(latencies)}`,
      );
    }
    say(`leader, ms for each claim: ${fit(leaderPoints)}`);
    say(`follower, ms for each claim: ${fit(followerPoints)}`);
    const startedAt = performance.now();
    const count = 900;
    const latencies = await steadily(count, 1, (number) =>
      rpc.call({
        peer: leader,
        method: registerMethod,
        request: { member: memberOf(number, 2), expectedRevision: 0 },
        timeoutMs: CALL_MS,
      }));
    say(
      `${count} registrations at once: all in ` +
        `${(performance.now() - startedAt).toFixed(0)} ms, ${
          quantiles(latencies)
        }`,
    );
  } finally {
    fleet.end();
  }
}

measureState();
measureDirectory();
const rpc = createGrpcRpc();
await measureIdleNode();
await measureSyncs(rpc);
await measureEntries(rpc);
await rpc.close();
process.exit(0);
