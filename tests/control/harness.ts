/**
 * Test harness for a cluster of control replicas: it blocks links in either
 * direction, records accepted changes, and checks the cluster's invariants.
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

const NETWORK_DELAY_MS = 1;
const WAIT_TIMEOUT_MS = 20_000;
const CLOCK_STEP_MS = 20;

/** A change that was reported to its operator as accepted. */
export interface AcceptedVersion {
  version: number;
  changeId: string;
}

/** A cluster of control replicas under test. */
export interface Harness {
  timer: FakeTimer;
  random: Random;
  rpc: FakeRpcNetwork;
  cluster: Cluster;
  accepted: AcceptedVersion[];
  /** Configuration versions that each replica had, in order. */
  observedVersions: Map<string, number[]>;
  /** Blocks or restores the link from `from` to `to`. */
  setLinkBlocked(from: string, to: string, blocked: boolean): void;
  /** Drops calls of some methods that `from` sends to `to`. */
  dropCalls(from: string, to: string, methods: readonly string[]): void;
  /** Blocks or restores the links between a VM and all others, both ways. */
  isolate(name: string, isolated: boolean): void;
  /** Restores all links. */
  healAll(): void;
  /** Advances the clock until a condition holds; rejects on timeout. */
  until(what: string, condition: () => boolean): Promise<void>;
  /** Starts all replicas, waits for a leader and submits a first site. */
  startCluster(): Promise<void>;
  /** Submits a change, and records it if it was accepted. */
  change(options?: ChangeOptions): Promise<ChangeResult | undefined>;
  /** Waits until all live replicas have the same log, and one of them leads. */
  waitForConvergence(): Promise<void>;
  /** Returns the violations of the cluster's invariants. */
  findViolations(): string[];
}

/** Creates a site with one service; sites differ in its slots. */
export function createSite(slots: number): Site {
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

/** Creates a harness whose cluster has not started. */
export function createHarness(options: {
  seed: number;
  replicas?: number;
  tuning?: Partial<ReplicaTuning>;
}): Harness {
  const { seed, replicas = 3, tuning } = options;
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const rpc = createFakeRpcNetwork(timer, NETWORK_DELAY_MS);
  const cluster = createCluster({
    timer,
    random,
    rpc,
    replicas,
    tuning,
    report: () => {},
  });
  const blockedLinks = new Set<string>();
  const accepted: AcceptedVersion[] = [];
  const observedVersions = new Map<string, number[]>();
  let changes = 0;

  function parseHost(address: string): string {
    return address.split(":")[0];
  }

  rpc.decideDelivery = ({ from, to, method }) => {
    const frozen = cluster.vms.some((vm) =>
      vm.name === parseHost(to) && vm.freezer.frozen
    );
    return {
      lost: frozen || blockedLinks.has(`${parseHost(from)}>${parseHost(to)}`) ||
        blockedLinks.has(`${parseHost(from)}>${parseHost(to)} ${method}`),
      delayMs: NETWORK_DELAY_MS,
    };
  };

  function recordVersions(): void {
    for (const vm of cluster.vms) {
      const versions = observedVersions.get(vm.name) ?? [];
      const version = vm.control.state.version;
      if (vm.alive && versions.at(-1) !== version) {
        versions.push(version);
        observedVersions.set(vm.name, versions);
      }
    }
  }
  timer.every(CLOCK_STEP_MS, recordVersions);

  function setLinkBlocked(from: string, to: string, blocked: boolean): void {
    const link = `${from}>${to}`;
    if (blocked) {
      blockedLinks.add(link);
    } else {
      blockedLinks.delete(link);
    }
  }

  async function until(
    what: string,
    condition: () => boolean,
  ): Promise<void> {
    const end = timer.now() + WAIT_TIMEOUT_MS;
    while (!condition()) {
      if (timer.now() > end) {
        throw new Error(`timed out waiting until ${what}`);
      }
      await timer.advance(CLOCK_STEP_MS);
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
      { kind: "configure", site: createSite(number) },
      { giveUpMs: 4_000, ...changeOptions, changeId },
    ).then((value) => {
      result = value;
      ended = true;
    });
    await until(`change ${changeId} ends`, () => ended);
    if (result?.kind === "accepted") {
      accepted.push({ version: result.version, changeId });
    }
    return result;
  }

  function findLostChanges(): string[] {
    // A replica whose role is failed or stopped serves no callers.
    const serving = cluster.vms.filter((vm) => {
      const { role } = vm.control.replica.status();
      return vm.alive && role !== "failed" && role !== "stopped";
    });
    return serving.flatMap((vm) => {
      const history = vm.control.state.history();
      return accepted
        .filter(({ version, changeId }) =>
          history.find((one) => one.version === version)?.changeId !== changeId
        )
        .map(({ version }) =>
          `${vm.name} lost the accepted version ${version}`
        );
    });
  }

  return {
    timer,
    random,
    rpc,
    cluster,
    accepted,
    observedVersions,
    setLinkBlocked,
    dropCalls: (from, to, methods) =>
      methods.forEach((method) => blockedLinks.add(`${from}>${to} ${method}`)),
    isolate(name, isolated) {
      for (const vm of cluster.vms) {
        if (vm.name !== name) {
          setLinkBlocked(name, vm.name, isolated);
          setLinkBlocked(vm.name, name, isolated);
        }
      }
    },
    healAll: () => blockedLinks.clear(),
    until,
    async startCluster() {
      await cluster.startAll();
      await until("a replica leads", () => cluster.leader() !== undefined);
      await change();
    },
    change,
    waitForConvergence: () =>
      until("all replicas have the same log", () => {
        const live = cluster.vms.filter((vm) => vm.alive);
        const statuses = live.map((vm) => vm.control.replica.status());
        const commitIndexes = new Set(
          statuses.map((status) => status.commitIndex),
        );
        const lastIndexes = new Set(statuses.map((status) => status.lastIndex));
        const leaders = statuses.filter((status) => status.role === "leader");
        const logsAgree = commitIndexes.size === 1 && lastIndexes.size === 1 &&
          [...commitIndexes][0] === [...lastIndexes][0];
        return logsAgree && leaders.length === 1 &&
          statuses.every((status) => status.learners.length === 0);
      }),
    findViolations() {
      const result = findLostChanges();
      for (const [term, identities] of cluster.leaders) {
        if (identities.size > 1) {
          result.push(`term ${term} had leaders ${[...identities]}`);
        }
      }
      const versions = accepted.map((one) => one.version);
      if (new Set(versions).size !== versions.length) {
        result.push(`two accepted changes have the same version: ${versions}`);
      }
      return result;
    },
  };
}
