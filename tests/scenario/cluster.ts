/**
 * A cluster of control replicas in simulated time, with fake RPC and disks.
 * @module
 */
import type { Action, ChangeResult } from "../../src/control/commands.ts";
import { type Control, createControl } from "../../src/control/control.ts";
import type { ReplicaTuning } from "../../src/control/tuning.ts";
import { type LogValue, silentLogger } from "../../src/core/logger.ts";
import { createSeededRandom, type Random } from "../../src/core/random.ts";
import { createSupervisor, type Supervisor } from "../../src/core/tasks.ts";
import { createFakeDisk, type FakeDisk } from "../../src/disk/fake_disk.ts";
import type { FakeRpcNetwork } from "../../src/rpc/fake_rpc.ts";
import type { Rpc } from "../../src/rpc/rpc.ts";
import type { FakeTimer } from "../../src/time/fake_timer.ts";
import { createFreezer, type Freezer } from "./freezer.ts";
import { prepareHashes } from "../../src/core/hash.ts";

// Replicas compute hashes from their first log record on.
await prepareHashes();

const DEFAULT_GIVE_UP_MS = 20_000;
const RETRY_INTERVAL_MS = 100;
const ANSWER_TIMEOUT_MS = 3_000;
/** Replicas that a new one is told of. */
const SEEDS = 3;

/** A VM with a control replica. */
export interface ControlVm {
  name: string;
  address: string;
  disk: FakeDisk;
  control: Control;
  rpc: Rpc;
  supervisor: Supervisor;
  freezer: Freezer;
  alive: boolean;
}

/** Options of a change. */
export interface ChangeOptions {
  against?: number;
  changeId?: string;
  force?: boolean;
  /** Control VM to ask; by default the live ones are asked in turn. */
  via?: string;
  operator?: string;
  /** Time after which the operator gives up, in milliseconds. */
  giveUpMs?: number;
}

/** A cluster of control replicas in simulated time. */
export interface Cluster {
  vms: ControlVm[];
  addresses: string[];
  vm(name: string): ControlVm;
  start(name: string): Promise<void>;
  startAll(): Promise<void>;
  /** Kills a process without a planned stop; synced data stays on its disk. */
  kill(name: string): void;
  /** Performs a planned stop of a process. */
  stop(name: string): Promise<void>;
  /**
   * Starts a replica with an empty disk on a VM that is no founder, which is told
   * the addresses of three replicas that run.
   */
  add(name: string): Promise<void>;
  leader(): ControlVm | undefined;
  /** Submits a change; resolves with `undefined` if the operator gives up. */
  propose(
    action: Action,
    options?: ChangeOptions,
  ): Promise<ChangeResult | undefined>;
  /** Identities of the replicas that became leader, by term. */
  leaders: Map<number, Set<string>>;
}

/** Creates a cluster whose replicas have not started. */
export function createCluster(options: {
  timer: FakeTimer;
  random: Random;
  rpc: FakeRpcNetwork;
  replicas: number;
  tuning?: Partial<ReplicaTuning>;
  report: (line: string) => void;
}): Cluster {
  const { timer, random, rpc, replicas, tuning, report } = options;
  const founders = Object.fromEntries(
    Array.from({ length: replicas }, (_, index) => [
      `control${index + 1}`,
      `control${index + 1}:1`,
    ]),
  );
  /** Replicas that those which are no founders were told of. */
  const seedsOf = new Map<string, Record<string, string>>();
  const leaders = new Map<number, Set<string>>();
  let changes = 0;

  function recordLeader(event: string, fields: Record<string, LogValue>): void {
    if (event === "replica.leads") {
      const term = Number(fields.term);
      const known = leaders.get(term) ?? new Set<string>();
      leaders.set(term, known.add(String(fields.identity)));
    }
  }

  function createVm(
    name: string,
    disk: FakeDisk,
  ): ControlVm {
    const seeds = seedsOf.get(name) ?? founders;
    const freezer = createFreezer(timer);
    const supervisor = createSupervisor({
      timer: freezer.timer,
      report: (task, error) => report(`${name} ${task}: ${error}`),
    });
    const address = founders[name] ?? `${name}:1`;
    const vmRpc = rpc.from(address);
    const logger = {
      ...silentLogger,
      info: (event: string, fields: Record<string, LogValue> = {}) =>
        recordLeader(event, fields),
    };
    const control = createControl({
      vm: name,
      address,
      founders: seeds,
      mayFound: name in founders,
      disk,
      rpc: vmRpc,
      timer: freezer.timer,
      random: createSeededRandom(random.integer(2 ** 31)),
      logger,
      supervisor,
      tuning,
    });
    return {
      name,
      address,
      disk,
      control,
      rpc: vmRpc,
      supervisor,
      freezer,
      alive: false,
    };
  }

  function sleep(ms: number): Promise<undefined> {
    return new Promise((resolve) => timer.after(ms, () => resolve(undefined)));
  }

  const vms = Object.keys(founders).map((name) =>
    createVm(name, createFakeDisk())
  );

  function findVm(name: string): ControlVm {
    const found = vms.find((vm) => vm.name === name);
    if (!found) {
      throw new Error(`no control VM ${name}`);
    }
    return found;
  }

  /** Starts a replica; one that ran before restarts on the same disk. */
  async function start(name: string): Promise<void> {
    const index = vms.findIndex((vm) => vm.name === name);
    if (vms[index].supervisor.signal.aborted) {
      vms[index] = createVm(name, vms[index].disk);
    }
    vms[index].alive = true;
    await vms[index].control.start();
  }

  return {
    vms,
    leaders,
    addresses: Object.values(founders),
    vm: findVm,
    start,
    async startAll() {
      for (const { name } of vms) {
        await start(name);
      }
    },
    kill(name) {
      const vm = findVm(name);
      if (!vm.alive) {
        return;
      }
      vm.alive = false;
      rpc.kill(vm.address);
      void vm.rpc.close();
      void vm.supervisor.stop();
      vm.disk.detach();
      vm.disk.crash(random);
      const index = vms.indexOf(vm);
      vms[index] = { ...vm, disk: vm.disk.reopen() };
    },
    async add(name) {
      const running = vms.filter(({ alive }) => alive).slice(-SEEDS);
      seedsOf.set(
        name,
        Object.fromEntries(running.map((vm) => [vm.name, vm.address])),
      );
      vms.push(createVm(name, createFakeDisk()));
      await start(name);
    },
    async stop(name) {
      const vm = findVm(name);
      await vm.control.stop();
      vm.alive = false;
      await vm.supervisor.stop();
    },
    leader: () =>
      vms.find((vm) =>
        vm.alive && vm.control.replica.status().role === "leader"
      ),
    async propose(action, changeOptions = {}) {
      const { against, changeId, force, via, operator, giveUpMs } =
        changeOptions;
      const id = changeId ?? `change${++changes}`;
      const until = timer.now() + (giveUpMs ?? DEFAULT_GIVE_UP_MS);
      const base = against ??
        Math.max(...vms.map((vm) => vm.control.state.version));
      let turn = 0;
      while (timer.now() < until) {
        const candidates = vms.filter((vm) =>
          vm.alive && (via === undefined || vm.name === via)
        );
        if (candidates.length > 0) {
          const { control } = candidates[turn++ % candidates.length];
          const pendingReply = control.change({
            kind: "change",
            changeId: id,
            operator: operator ?? "operator",
            against: base,
            force: force ?? false,
            wallTime: timer.wallTime(),
            action,
          });
          const reply = await Promise.race([
            pendingReply,
            sleep(ANSWER_TIMEOUT_MS),
          ]);
          if (reply?.kind === "done") {
            return reply.value;
          }
        }
        await sleep(RETRY_INTERVAL_MS);
      }
      return undefined;
    },
  };
}
