/**
 * A fleet of nodes with limits of workspaces, in simulated time and without a
 * network: frames reach other nodes after a delay, unless a test cuts them off.
 * @module
 */
import type { Member } from "../control/commands.ts";
import { silentLogger } from "../core/logger.ts";
import { createSeededRandom, type Random } from "../core/random.ts";
import type { PeerPool } from "../ingress/peer_pool.ts";
import { createMetrics, type Metrics } from "../metrics/metrics.ts";
import type { Channel } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import { createDirectory, type Directory } from "../node/directory.ts";
import { siteSchema } from "../settings/site.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { sleep, type Timer, withTimeout } from "../time/timer.ts";
import type { WorkspaceLimit } from "./bounds.ts";
import { createQuota, type Quota, type QuotaDecision } from "./quota.ts";

const SERVICE = "work";
const DELAY_MS = 1.4;
const DOMAINS = ["a", "b", "c", "d"];
/** Time after which control removes a member that is lost. */
const REMOVAL_MS = 5_000;

/** A node of a fake fleet. */
export interface FakeNode {
  name: string;
  domain: string;
  quota: Quota;
  directory: Directory;
  metrics: Metrics;
  alive: boolean;
  /** Monotonic time of the last contact with control. */
  lastSyncAt: number;
  /** Number of frames that the node has sent. */
  sent: number;
}

/** Options of {@link createFakeFleet}. */
export interface FakeFleetOptions {
  nodes: number;
  seed: number;
  limits: Record<string, WorkspaceLimit>;
}

/** A fleet of nodes in simulated time. */
export interface FakeFleet {
  timer: FakeTimer;
  random: Random;
  nodes: FakeNode[];
  /** Limits in force; a test may change them. */
  limits: Record<string, WorkspaceLimit>;
  /** Whether frames pass from one node to another; a test may replace it. */
  passes: (from: FakeNode, to: FakeNode) => boolean;
  /** Returns the time in which a frame passes; a test may replace it. */
  delayMs: () => number;
  /** Subscribes a node to a service; a test may replace it. */
  subscribe: (service: string) => Promise<void>;
  /** Times at which requests of a workspace were admitted. */
  admitted: Record<string, number[]>;
  /** Sends a request of a workspace through a node. */
  request(node: FakeNode, workspace: string): Promise<QuotaDecision>;
  /** Kills a node; control removes it after a while. */
  kill(node: FakeNode): void;
  /** Starts a node anew, without anything of its previous process. */
  restart(node: FakeNode): void;
  /** Sets the members that nodes know. */
  setMembers(members: FakeNode[], readers?: FakeNode[]): void;
}

/** Creates a fleet whose nodes know each other. */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
  const timer = createFakeTimer();
  const random = createSeededRandom(options.seed);
  let revision = 0;

  function memberOf({ name, domain }: FakeNode): Member {
    return {
      server: name,
      service: SERVICE,
      domain,
      region: "default",
      address: `${name}:1`,
      incarnation: name,
      boot: name,
      slots: 8,
      leaving: false,
    };
  }

  async function exchange(
    from: FakeNode,
    { to, frame, timeoutMs }: {
      to: FakeNode;
      frame: Frame;
      timeoutMs: number;
    },
  ): Promise<Frame | undefined> {
    from.sent++;
    async function carry(): Promise<Frame | undefined> {
      await sleep(timer, fleet.delayMs());
      if (!to.alive || !fleet.passes(from, to)) {
        await sleep(timer, timeoutMs);
        return undefined;
      }
      const answer = await new Promise<Frame>((resolve) => {
        const channel = { send: (sent: Frame) => resolve(sent), close() {} };
        const received = JSON.parse(JSON.stringify(frame));
        void to.quota.serve(channel as unknown as Channel, received);
      });
      to.sent++;
      await sleep(timer, fleet.delayMs());
      return from.alive && fleet.passes(to, from) ? answer : undefined;
    }
    try {
      return await withTimeout(timer, carry(), {
        step: "fake",
        peer: to.name,
        timeoutMs,
      });
    } catch {
      return undefined;
    }
  }

  function start(node: FakeNode): void {
    node.directory = createDirectory();
    node.metrics = createMetrics();
    node.directory.subscribe(SERVICE);
    node.alive = true;
    node.lastSyncAt = timer.now();
    node.quota = createQuota({
      vm: node.name,
      domain: node.domain,
      peerAddress: `${node.name}:1`,
      directory: node.directory,
      pool: {} as PeerPool,
      timer: timer as Timer,
      random: createSeededRandom(random.integer(2 ** 31)),
      metrics: node.metrics,
      logger: silentLogger,
      limitOf: (workspace) => fleet.limits[workspace],
      subscribe: (service) => fleet.subscribe(service),
      onNewerVersion() {},
      lastSyncAt: () => node.lastSyncAt,
      exchange: (address, request) =>
        exchange(node, {
          to: nodes.find(({ name }) => address === `${name}:1`)!,
          ...request,
        }),
    });
  }

  function setMembers(members: FakeNode[], readers = nodes): void {
    revision++;
    const site = siteSchema.parse({
      name: "site",
      domains: DOMAINS,
      services: { [SERVICE]: { team: "t" } },
    });
    const route = { service: SERVICE, name: "r", method: "GET", path: "/" };
    for (const node of readers.filter(({ alive }) => alive)) {
      node.directory.apply({
        global: {
          revision,
          version: 1,
          limits: site,
          domainsOut: [],
          serversOut: [],
        },
        routeTable: { revision, prefixes: [], routes: [route] },
        services: [{
          service: SERVICE,
          revision,
          settings: site.services[SERVICE],
          members: members.map(memberOf),
        }],
      });
    }
  }

  const nodes = Array.from({ length: options.nodes }, (_, index) => ({
    name: `vm${index}`,
    domain: DOMAINS[index % DOMAINS.length],
    alive: true,
    sent: 0,
  } as FakeNode));
  const fleet: FakeFleet = {
    timer,
    random,
    nodes,
    limits: options.limits,
    passes: () => true,
    delayMs: () => DELAY_MS,
    subscribe: () => Promise.resolve(),
    admitted: {},
    async request(node, workspace) {
      const decision = await node.quota.admit(workspace);
      if (decision.kind === "admitted") {
        fleet.admitted[workspace] ??= [];
        fleet.admitted[workspace].push(timer.now());
      }
      return decision;
    },
    kill(node) {
      node.alive = false;
      timer.after(REMOVAL_MS, () => {
        if (!node.alive) {
          setMembers(nodes.filter(({ alive }) => alive));
        }
      });
    },
    restart(node) {
      start(node);
      setMembers(nodes.filter(({ alive }) => alive));
    },
    setMembers,
  };
  nodes.forEach(start);
  setMembers(nodes);
  return fleet;
}

/** Returns the largest number of times in any window. */
export function largestWindow(
  times: readonly number[],
  windowMs: number,
): number {
  const sorted = [...times].sort((one, other) => one - other);
  let largest = 0;
  for (let first = 0, last = 0; last < sorted.length; last++) {
    while (sorted[last] - sorted[first] >= windowMs) {
      first++;
    }
    largest = Math.max(largest, last - first + 1);
  }
  return largest;
}
