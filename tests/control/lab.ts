/**
 * A cluster of control replicas for tests: links that can be cut either way,
 * changes that were accepted, and what must hold of them at the end.
 * @module
 */
import type { ChangeResult } from "../../src/control/commands.ts";
import type { ReplicaTuning } from "../../src/control/tuning.ts";
import { createSeededRandom, type Random } from "../../src/core/random.ts";
import {
  createFakeRpcNetwork,
  type FakeRpcNetwork,
} from "../../src/rpc/fake_rpc.ts";
import { type Site, siteSchema } from "../../src/settings/site.ts";
import { createFakeTimer, type FakeTimer } from "../../src/time/fake_timer.ts";
import {
  type ChangeOptions,
  type Cluster,
  createCluster,
} from "../scenario/cluster.ts";

const DELAY_MS = 1;
const READY_MS = 20_000;
const STEP_MS = 20;

/** A change that an operator was told is accepted. */
export interface Accepted {
  version: number;
  changeId: string;
}

/** A cluster for tests. */
export interface Lab {
  timer: FakeTimer;
  random: Random;
  rpc: FakeRpcNetwork;
  cluster: Cluster;
  accepted: Accepted[];
  /** Versions that each replica showed, in order. */
  seen: Map<string, number[]>;
  /** Cuts or heals what `from` sends to `to`. */
  setCut(from: string, to: string, cut: boolean): void;
  /** Loses calls of some kinds that `from` sends to `to`. */
  lose(from: string, to: string, methods: readonly string[]): void;
  /** Cuts a VM off from all others, both ways, or heals it. */
  isolate(name: string, cut: boolean): void;
  /** Cuts or heals all links. */
  healAll(): void;
  /** Moves the clock until a condition holds; rejects if it never does. */
  until(what: string, condition: () => boolean): Promise<void>;
  /** Starts all replicas, waits for a leader and applies a site. */
  begin(): Promise<void>;
  /** Makes a change and notes whether it was accepted. */
  change(options?: ChangeOptions): Promise<ChangeResult | undefined>;
  /** Waits until all live replicas hold the same log. */
  converge(): Promise<void>;
  /** What is broken of what must hold at all times. */
  broken(): string[];
}

/** A site with one service, told apart by its slots. */
export function siteWith(slots: number): Site {
  return siteSchema.parse({
    name: "lab",
    domains: ["east", "west"],
    services: {
      work: {
        team: "work",
        slots,
        routes: {
          look: { path: "/look/:id", class: "look", repeatable: true },
        },
      },
    },
  });
}

/** Creates a cluster that has not started. */
export function createLab(options: {
  seed: number;
  replicas?: number;
  tuning?: Partial<ReplicaTuning>;
}): Lab {
  const { seed, replicas = 3, tuning } = options;
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const rpc = createFakeRpcNetwork(timer, DELAY_MS);
  const cluster = createCluster({
    timer,
    random,
    rpc,
    replicas,
    tuning,
    report: () => {},
  });
  const cuts = new Set<string>();
  const accepted: Accepted[] = [];
  const seen = new Map<string, number[]>();
  let changes = 0;

  function hostOf(address: string): string {
    return address.split(":")[0];
  }

  rpc.fate = ({ from, to, method }) => {
    const frozen = cluster.vms.some((vm) =>
      vm.name === hostOf(to) && vm.freezer.frozen
    );
    return {
      lost: frozen || cuts.has(`${hostOf(from)}>${hostOf(to)}`) ||
        cuts.has(`${hostOf(from)}>${hostOf(to)} ${method}`),
      delayMs: DELAY_MS,
    };
  };

  function observe(): void {
    for (const vm of cluster.vms) {
      const versions = seen.get(vm.name) ?? [];
      const version = vm.control.state.version;
      if (vm.alive && versions.at(-1) !== version) {
        versions.push(version);
        seen.set(vm.name, versions);
      }
    }
  }
  timer.every(STEP_MS, observe);

  function setCut(from: string, to: string, cut: boolean): void {
    const link = `${from}>${to}`;
    if (cut) {
      cuts.add(link);
    } else {
      cuts.delete(link);
    }
  }

  async function until(
    what: string,
    condition: () => boolean,
  ): Promise<void> {
    const end = timer.now() + READY_MS;
    while (!condition()) {
      if (timer.now() > end) {
        throw new Error(`never came true: ${what}`);
      }
      await timer.advance(STEP_MS);
    }
  }

  async function change(
    changeOptions: ChangeOptions = {},
  ): Promise<ChangeResult | undefined> {
    const number = ++changes;
    const changeId = changeOptions.changeId ?? `change${number}`;
    let result: ChangeResult | undefined;
    let ended = false;
    void cluster.propose(
      { kind: "configure", site: siteWith(number) },
      { giveUpMs: 4_000, ...changeOptions, changeId },
    ).then((value) => {
      result = value;
      ended = true;
    });
    await until(`${changeId} ends`, () => ended);
    if (result?.kind === "accepted") {
      accepted.push({ version: result.version, changeId });
    }
    return result;
  }

  function lostChanges(): string[] {
    // A replica that says that it failed or stopped shows nothing to anyone.
    const taking = cluster.vms.filter((vm) => {
      const { role } = vm.control.replica.status();
      return vm.alive && role !== "failed" && role !== "stopped";
    });
    return taking.flatMap((vm) => {
      const history = vm.control.state.history();
      return accepted
        .filter(({ version, changeId }) =>
          history.find((one) => one.version === version)?.changeId !== changeId
        )
        .map(({ version }) => `${vm.name} lost accepted version ${version}`);
    });
  }

  return {
    timer,
    random,
    rpc,
    cluster,
    accepted,
    seen,
    setCut,
    lose: (from, to, methods) =>
      methods.forEach((method) => cuts.add(`${from}>${to} ${method}`)),
    isolate(name, cut) {
      for (const vm of cluster.vms) {
        if (vm.name !== name) {
          setCut(name, vm.name, cut);
          setCut(vm.name, name, cut);
        }
      }
    },
    healAll: () => cuts.clear(),
    until,
    async begin() {
      await cluster.startAll();
      await until("a leader", () => cluster.leader() !== undefined);
      await change();
    },
    change,
    converge: () =>
      until("all replicas agree", () => {
        const live = cluster.vms.filter((vm) => vm.alive);
        const statuses = live.map((vm) => vm.control.replica.status());
        const commits = new Set(statuses.map((status) => status.commitIndex));
        const lasts = new Set(statuses.map((status) => status.lastIndex));
        const roles = statuses.filter((status) => status.role === "leader");
        const settled = commits.size === 1 && lasts.size === 1 &&
          [...commits][0] === [...lasts][0];
        return settled && roles.length === 1 &&
          statuses.every((status) => status.learners.length === 0);
      }),
    broken() {
      const result = lostChanges();
      for (const [term, identities] of cluster.leaders) {
        if (identities.size > 1) {
          result.push(`term ${term} had leaders ${[...identities]}`);
        }
      }
      const versions = accepted.map((one) => one.version);
      if (new Set(versions).size !== versions.length) {
        result.push(`two changes won one version: ${versions}`);
      }
      return result;
    },
  };
}
