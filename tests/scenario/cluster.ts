/**
 * Control replicas on a test's clock, over fakes of calls and disks.
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

// Hashes are used from the first record on.
await prepareHashes();

const GIVE_UP_MS = 20_000;
const RETRY_MS = 100;
const ANSWER_MS = 3_000;

/** One control VM. */
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
  /** Control VM to ask; else those that are alive take turns. */
  via?: string;
  operator?: string;
  /** Time after which the operator gives up, in milliseconds. */
  giveUpMs?: number;
}

/** Control replicas on a test's clock. */
export interface Cluster {
  vms: ControlVm[];
  addresses: string[];
  vm(name: string): ControlVm;
  start(name: string): Promise<void>;
  startAll(): Promise<void>;
  /** Ends a process at once; its disk keeps what was synced. */
  kill(name: string): void;
  /** Stops a process by plan. */
  stop(name: string): Promise<void>;
  leader(): ControlVm | undefined;
  /** Begins a change; `undefined` if the operator gave up. */
  propose(
    action: Action,
    options?: ChangeOptions,
  ): Promise<ChangeResult | undefined>;
  /** Roles that replicas took, as `term identity` for each leader. */
  leaders: Map<number, Set<string>>;
}

/** Creates replicas that have not started. */
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
  const leaders = new Map<number, Set<string>>();
  let changes = 0;

  function noteLeader(event: string, fields: Record<string, LogValue>): void {
    if (event === "replica.leads") {
      const term = Number(fields.term);
      const known = leaders.get(term) ?? new Set<string>();
      leaders.set(term, known.add(String(fields.identity)));
    }
  }

  function build(name: string, disk: FakeDisk): ControlVm {
    const freezer = createFreezer(timer);
    const supervisor = createSupervisor({
      timer: freezer.timer,
      report: (task, error) => report(`${name} ${task}: ${error}`),
    });
    const address = founders[name];
    const own = rpc.from(address);
    const logger = {
      ...silentLogger,
      info: (event: string, fields: Record<string, LogValue> = {}) =>
        noteLeader(event, fields),
    };
    const control = createControl({
      vm: name,
      address,
      founders,
      disk,
      rpc: own,
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
      rpc: own,
      supervisor,
      freezer,
      alive: false,
    };
  }

  /** Resolves later: an operator does not wait for ever. */
  function after(ms: number): Promise<undefined> {
    return new Promise((resolve) => timer.after(ms, () => resolve(undefined)));
  }

  const vms = Object.keys(founders).map((name) =>
    build(name, createFakeDisk())
  );

  function vmNamed(name: string): ControlVm {
    const found = vms.find((one) => one.name === name);
    if (!found) {
      throw new Error(`no control VM ${name}`);
    }
    return found;
  }

  /** A process that was started before starts again on its disk. */
  async function start(name: string): Promise<void> {
    const index = vms.findIndex((one) => one.name === name);
    if (vms[index].supervisor.signal.aborted) {
      vms[index] = build(name, vms[index].disk);
    }
    vms[index].alive = true;
    await vms[index].control.start();
  }

  return {
    vms,
    leaders,
    addresses: Object.values(founders),
    vm: vmNamed,
    start,
    async startAll() {
      for (const { name } of vms) {
        await start(name);
      }
    },
    kill(name) {
      const one = vmNamed(name);
      if (!one.alive) {
        return;
      }
      one.alive = false;
      rpc.kill(one.address);
      void one.rpc.close();
      void one.supervisor.stop();
      one.disk.detach();
      one.disk.crash(random);
      const index = vms.indexOf(one);
      vms[index] = { ...one, disk: one.disk.successor() };
    },
    async stop(name) {
      const one = vmNamed(name);
      await one.control.stop();
      one.alive = false;
      await one.supervisor.stop();
    },
    leader: () =>
      vms.find((one) =>
        one.alive && one.control.replica.status().role === "leader"
      ),
    async propose(action, changeOptions = {}) {
      const { against, changeId, force, via, operator, giveUpMs } =
        changeOptions;
      const id = changeId ?? `change${++changes}`;
      const until = timer.now() + (giveUpMs ?? GIVE_UP_MS);
      const base = against ??
        Math.max(...vms.map((one) => one.control.state.version));
      let turn = 0;
      while (timer.now() < until) {
        const candidates = vms.filter((one) =>
          one.alive && (via === undefined || one.name === via)
        );
        if (candidates.length > 0) {
          const { control } = candidates[turn++ % candidates.length];
          const asked = control.change({
            kind: "change",
            changeId: id,
            operator: operator ?? "operator",
            against: base,
            force: force ?? false,
            wallTime: timer.wallTime(),
            action,
          });
          const reply = await Promise.race([asked, after(ANSWER_MS)]);
          if (reply?.kind === "done") {
            return reply.value;
          }
        }
        await after(RETRY_MS);
      }
      return undefined;
    },
  };
}
