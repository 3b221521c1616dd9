/**
 * Measures how processor time, bytes and memory of control and nodes grow with
 * the size of a site, on this machine. The figures of docs/CAPACITY.md are
 * calculated from the slopes.
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
import { findFreePorts } from "../src/demo/ports.ts";
import { createDirectory } from "../src/node/directory.ts";
import { createGrpcRpc } from "../src/rpc/grpc_rpc.ts";
import type { Rpc } from "../src/rpc/rpc.ts";
import { loadSite } from "../src/settings/load.ts";
import { type Site, siteSchema } from "../src/settings/site.ts";
import { prepareHashes } from "../src/core/hash.ts";

// The hash function has to be loaded before the first entry is applied.
await prepareHashes();

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const EXAMPLES = join(HERE, "../../examples");
/** Clock ticks per second (`USER_HZ`), in which `/proc` counts processor time. */
const TICKS_PER_SECOND = 100;
const CALL_TIMEOUT_MS = 3_000;
const BACKEND_SERVERS = 4_600;
const SERVICES = 570;
const packr = new Packr({ useRecords: false });

function print(line: string): void {
  process.stdout.write(line + "\n");
}

/** Returns the processor time of a process, in milliseconds, from `/proc`. */
function readProcessorMs(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]
    .split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * 1_000 / TICKS_PER_SECOND;
}

function readResidentMiB(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

/**
 * Fits a line to points; returns its slope and the largest residual, as text.
 */
function describeFit(points: [number, number][]): string {
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

/** Returns a site with as many services as the capacity plan assumes. */
function createPlannedSite(): Site {
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

/**
 * Returns a state whose first entry is the configuration of the planned site.
 */
function createConfiguredState(): ControlState {
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
      action: { kind: "configure", site: createPlannedSite() },
    },
  });
  return state;
}

function createMember(index: number, services = SERVICES): Member {
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

/** Measures snapshots, views and claims of a state in this process. */
function measureState(): void {
  print("## State, views and snapshots (in one process)");
  const points: [number, number][] = [];
  for (const members of [1_000, 2_000, 4_600]) {
    const state = createConfiguredState();
    let index = 2;
    const apply = (command: unknown): unknown =>
      state.apply({ index: index++, logTime: 0, command });
    for (let number = 0; number < members; number++) {
      apply({
        kind: "register",
        member: createMember(number),
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
    print(
      `members ${members}: snapshot ${bytes} B in ${tookMs.toFixed(1)} ms, ` +
        `global view ${packr.pack(view.global).length} B, ` +
        `route table ${packr.pack(view.routeTable).length} B, ` +
        `service view ${packr.pack(view.services[0]).length} B`,
    );
  }
  print(`snapshot bytes for each member: ${describeFit(points)}`);
  const claims: [number, number][] = [];
  for (const count of [20_000, 50_000, 100_000]) {
    const state = createConfiguredState();
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
          server: `vm${number % BACKEND_SERVERS}`,
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
    print(
      `claims ${count}: apply ${(tookMs / count * 1e3).toFixed(1)} us each, ` +
        `heap ${(heap / count).toFixed(0)} B each, snapshot ${bytes} B in ` +
        `${(performance.now() - snapshotAt).toFixed(0)} ms`,
    );
  }
  print(`snapshot bytes for each claim: ${describeFit(claims)}`);
}

/**
 * Measures the memory of a node's directory, and the size of its first view.
 */
function measureDirectory(): void {
  print("\n## Directory of a node (in one process)");
  const state = createConfiguredState();
  for (let number = 0; number < BACKEND_SERVERS; number++) {
    state.apply({
      index: number + 2,
      logTime: 0,
      command: {
        kind: "register",
        member: createMember(number),
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
    print(
      `services ${services}: first view ${bytes.length} B, applied in ` +
        `${tookMs.toFixed(1)} ms, heap ${(heap / 1_024).toFixed(0)} KiB`,
    );
  }
  print(`heap KiB for each service: ${describeFit(points)}`);
}

/** Running control processes. */
interface ControlFleet {
  addresses: string[];
  pids: number[];
  /** Kills the processes and removes their files. */
  stop(): void;
}

async function startControls(count: number): Promise<ControlFleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-capacity-"));
  const ports = await findFreePorts(count * 2);
  const addresses = ports.slice(0, count).map((port) => `${HOST}:${port}`);
  writeFileSync(join(folder, "tokens"), "bench bench-token\n");
  const children: ChildProcess[] = addresses.map((address, index) => {
    const file = join(folder, `c${index}.toml`);
    const founders = addresses.map((founder, n) => `c${n} = "${founder}"`).join(
      "\n",
    );
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
  const stop = (): void => {
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
      return { addresses, pids: children.map((child) => child.pid ?? 0), stop };
    }
  }
  stop();
  throw new Error("control did not become ready in time");
}

/** Makes calls at a steady rate, and returns their sorted latencies. */
async function callAtRate(
  rate: number,
  seconds: number,
  call: (number: number) => Promise<unknown>,
): Promise<number[]> {
  const latencies: number[] = [];
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let number = 0; number < rate * seconds; number++) {
    const waitMs = startedAt + number * 1_000 / rate - performance.now();
    if (waitMs > 1) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const sentAt = performance.now();
    running.push(
      call(number).then(() => {
        latencies.push(performance.now() - sentAt);
      }),
    );
  }
  await Promise.all(running);
  return latencies.sort((first, second) => first - second);
}

function formatQuantiles(values: number[]): string {
  const quantile = (share: number): string =>
    (values[Math.floor(values.length * share)] ?? NaN).toFixed(1);
  return `p50 ${quantile(0.5)} ms, p99 ${quantile(0.99)} ms`;
}

/** Creates a request with revisions so high that the reply holds no changes. */
function createSyncRequest(number: number) {
  return {
    node: `vm${number % BACKEND_SERVERS}`,
    known: {
      global: 1_000_000,
      routes: 1_000_000,
      services: { billing: 1_000_000, records: 1_000_000 },
    },
    confirm: false,
    renewal: { server: `vm${number % BACKEND_SERVERS}`, incarnation: "i" },
    events: [],
  };
}

/** Measures the processor time that a replica takes for nodes' syncs. */
async function measureSyncs(rpc: Rpc): Promise<void> {
  print("\n## Nodes that sync with one replica (one control process)");
  const fleet = await startControls(1);
  try {
    const [pid] = fleet.pids;
    const points: [number, number][] = [];
    for (const rate of [0, 200, 400, 800, 1_600]) {
      const seconds = 5;
      const before = readProcessorMs(pid);
      const latencies = rate === 0
        ? await new Promise<number[]>((resolve) =>
          setTimeout(() => resolve([]), seconds * 1_000)
        )
        : await callAtRate(rate, seconds, (number) =>
          rpc.call({
            peer: fleet.addresses[0],
            method: syncMethod,
            request: createSyncRequest(number),
            timeoutMs: CALL_TIMEOUT_MS,
          }));
      const spentMs = (readProcessorMs(pid) - before) / seconds;
      points.push([rate, spentMs]);
      print(
        `${rate} syncs/s: ${spentMs.toFixed(1)} ms processor/s, ` +
          `${readResidentMiB(pid).toFixed(0)} MiB, ${
            formatQuantiles(latencies)
          }`,
      );
    }
    print(`ms of processor time for each sync: ${describeFit(points)}`);
    const reply = await rpc.call({
      peer: fleet.addresses[0],
      method: syncMethod,
      request: createSyncRequest(1),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const request = packr.pack(createSyncRequest(1)).length;
    const answer = packr.pack(reply.isOk() ? reply.value : null).length;
    print(
      `a sync request is ${request} B, a reply without changes ${answer} B`,
    );
  } finally {
    fleet.stop();
  }
}

/** Measures the processor time and memory of a node without calls. */
async function measureIdleNode(): Promise<void> {
  print("\n## A node without calls (one control process, one node process)");
  const fleet = await startControls(1);
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-node-"));
  const [caller, peer, local] = await findFreePorts(3);
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
      const before = readProcessorMs(pid);
      await wait(5_000);
      const spentMs = (readProcessorMs(pid) - before) / 5;
      print(
        `${spentMs.toFixed(1)} ms processor/s, ${
          readResidentMiB(pid).toFixed(0)
        } MiB`,
      );
    }
  } finally {
    node.kill("SIGKILL");
    fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Measures the processor time of leader and follower for log entries. */
async function measureEntries(rpc: Rpc): Promise<void> {
  print("\n## Entries of the log (three control processes)");
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
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (reply.isOk() && reply.value.kind !== "done" && reply.value.leader) {
        leader = reply.value.leader;
      }
    };
    await callAtRate(20, 1, claim);
    const leaderPid = fleet.pids[fleet.addresses.indexOf(leader)];
    const followerPid = fleet.pids.find((pid) => pid !== leaderPid)!;
    const leaderPoints: [number, number][] = [];
    const followerPoints: [number, number][] = [];
    for (const rate of [0, 100, 400, 1_000]) {
      const seconds = 5;
      const before = [leaderPid, followerPid].map(readProcessorMs);
      const latencies = rate === 0
        ? await new Promise<number[]>((resolve) =>
          setTimeout(() => resolve([]), seconds * 1_000)
        )
        : await callAtRate(rate, seconds, claim);
      const [leaderMs, followerMs] = [leaderPid, followerPid].map((
        pid,
        index,
      ) => (readProcessorMs(pid) - before[index]) / seconds);
      leaderPoints.push([rate, leaderMs]);
      followerPoints.push([rate, followerMs]);
      print(
        `${rate} claims/s: leader ${leaderMs.toFixed(1)}, follower ` +
          `${followerMs.toFixed(1)} ms processor/s, ${
            formatQuantiles(latencies)
          }`,
      );
    }
    print(`leader, ms for each claim: ${describeFit(leaderPoints)}`);
    print(`follower, ms for each claim: ${describeFit(followerPoints)}`);
    const startedAt = performance.now();
    const count = 900;
    const latencies = await callAtRate(count, 1, (number) =>
      rpc.call({
        peer: leader,
        method: registerMethod,
        request: { member: createMember(number, 2), expectedRevision: 0 },
        timeoutMs: CALL_TIMEOUT_MS,
      }));
    print(
      `${count} registrations at once: all in ` +
        `${(performance.now() - startedAt).toFixed(0)} ms, ${
          formatQuantiles(latencies)
        }`,
    );
  } finally {
    fleet.stop();
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
