/**
 * A small site on a test's clock: the real control and node roles, over fakes
 * of network, calls, disks and backend servers.
 * @module
 */
import type { EventLoopLag } from "../../src/time/event_loop_lag.ts";
import {
  type Cancellation,
  neverCancelled,
} from "../../src/core/cancellation.ts";
import { silentLogger } from "../../src/core/logger.ts";
import { createSeededRandom, type Random } from "../../src/core/random.ts";
import { createSupervisor, type Supervisor } from "../../src/core/tasks.ts";
import type { Reply } from "../../src/ingress/call.ts";
import {
  createFakeNetwork,
  type FakeNetwork,
} from "../../src/network/fake_network.ts";
import { createNode, type Node } from "../../src/node/node.ts";
import {
  createFakeRpcNetwork,
  type FakeRpcNetwork,
} from "../../src/rpc/fake_rpc.ts";
import type { Rpc } from "../../src/rpc/rpc.ts";
import type { Site } from "../../src/settings/site.ts";
import {
  createFakeTimer,
  type FakeTimer,
  settle,
} from "../../src/time/fake_timer.ts";
import { type Cluster, createCluster } from "./cluster.ts";
import { createFreezer, type Freezer } from "./freezer.ts";
import {
  createFakeServer,
  type FakeServer,
  type FakeServerShape,
} from "./fake_backend.ts";

/** Service that every server of a world belongs to. */
export const SERVICE = "work";
const DELAY_MS = 1;
const CONTROLS = 3;
const ANNOUNCE_MS = 500;
const READY_MS = 20_000;

/** Options of {@link createWorld}. */
export interface WorldOptions {
  /** Lag of all nodes; none by default. */
  lag?: EventLoopLag;
  seed: number;
  site: Site;
  servers: number;
  shape: FakeServerShape;
}

/** What became of one call. */
export interface CallRecord {
  name: string;
  via: string;
  requestId: string;
  key: string;
  tenant: string;
  repeatable: boolean;
  startedAt: number;
  endedAt: number;
  reply: Reply | undefined;
  body: string;
}

/** One VM of a world. */
export interface Vm {
  name: string;
  domain: string;
  node: Node;
  server: FakeServer;
  rpc: Rpc;
  supervisor: Supervisor;
  announcing: boolean;
  alive: boolean;
  /** Versions in force, as they were seen. */
  versions: number[];
  /** Tasks of its timers that have run. */
  wakeUps(): number;
}

/** A small site on a test's clock. */
export interface World {
  timer: FakeTimer;
  random: Random;
  network: FakeNetwork;
  rpc: FakeRpcNetwork;
  vms: Vm[];
  cluster: Cluster;
  calls: CallRecord[];
  /** Errors that tasks reported; a test shows them. */
  reports: string[];
  vm(name: string): Vm;
  /** Starts everything, applies the site and waits until all is ready. */
  begin(): Promise<void>;
  /** Sends a call through a node; the record fills as it goes on. */
  call(order: CallOrder): CallRecord;
  /**
   * Holds up a node process for some time: nothing in it runs, and what comes
   * waits in its sockets. When it goes on, that is read before its timers run.
   */
  holdUp(name: string, durationMs: number): void;
  /** Ends a node process at once. */
  killNode(name: string): void;
  /** Starts a node process again, with nothing of its memory left. */
  startNode(name: string): Promise<void>;
}

/** A call to be sent. */
export interface CallOrder {
  name?: string;
  via: string;
  path: string;
  method?: "GET" | "POST";
  key?: string;
  tenant?: string;
  repeatable?: boolean;
  body?: string;
  /** Time that the caller has left, in milliseconds. */
  timeoutMs?: number;
  signal?: Cancellation;
}

/** Creates a world in which nothing has started yet. */
export function createWorld(options: WorldOptions): World {
  const { seed, site, shape } = options;
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const network = createFakeNetwork(timer, DELAY_MS);
  const rpc = createFakeRpcNetwork(timer, DELAY_MS);
  const calls: CallRecord[] = [];
  const reports: string[] = [];
  const freezers = new Map<string, Freezer>();
  const cluster = createCluster({
    timer,
    random,
    rpc,
    replicas: CONTROLS,
    report: (line) => reports.push(line),
  });

  function newSupervisor(owner: string): Supervisor {
    return createSupervisor({
      timer,
      report: (task, error) => reports.push(`${owner} ${task}: ${error}`),
    });
  }

  function freezerOf(name: string): Freezer {
    const freezer = freezers.get(name) ?? createFreezer(timer);
    freezers.set(name, freezer);
    return freezer;
  }

  function buildNode(vm: Pick<Vm, "name" | "domain" | "server">): Vm {
    const supervisor = newSupervisor(vm.name);
    const ownRpc = rpc.from(vm.name);
    const node = createNode({
      vm: vm.name,
      domain: vm.domain,
      region: "default",
      peerAddress: `${vm.name}:1`,
      controlAddresses: cluster.addresses,
      network: network.from(vm.name),
      rpc: ownRpc,
      timer: freezerOf(vm.name).timer,
      random: createSeededRandom(random.integer(2 ** 31)),
      logger: silentLogger,
      supervisor,
      createBackend: vm.server.factory,
      lag: options.lag,
    });
    const versions: number[] = [];
    node.directory.onChange(() => versions.push(node.directory.version));
    return {
      ...vm,
      node,
      rpc: ownRpc,
      supervisor,
      announcing: true,
      alive: true,
      versions,
      wakeUps: () => freezerOf(vm.name).wakeUps,
    };
  }

  const vms = Array.from({ length: options.servers }, (_, index) => {
    const name = `vm${index + 1}`;
    const domain = site.domains[index % site.domains.length];
    const server = createFakeServer(name, { timer, random, shape });
    return buildNode({ name, domain, server });
  });

  function vmNamed(name: string): Vm {
    const found = vms.find((vm) => vm.name === name);
    if (!found) {
      throw new Error(`no VM ${name}`);
    }
    return found;
  }

  /** Each backend server announces itself for as long as it is up. */
  let sequence = 0;
  function announceAll(): void {
    sequence++;
    for (const vm of vms) {
      if (vm.alive && vm.announcing && vm.server.up) {
        void vm.node.announce({
          service: SERVICE,
          address: `${vm.name}:2`,
          boot: vm.server.boot,
          instance: vm.server.boot,
          sequence,
          healthPath: "/health",
        });
      }
    }
  }

  async function waitFor(condition: () => boolean): Promise<void> {
    const until = timer.now() + READY_MS;
    while (!condition()) {
      if (timer.now() > until) {
        throw new Error("the world did not become ready");
      }
      await timer.advance(50);
    }
  }

  const world: World = {
    timer,
    random,
    network,
    rpc,
    vms,
    cluster,
    calls,
    reports,
    vm: vmNamed,
    async begin() {
      await cluster.startAll();
      await waitFor(() => cluster.leader() !== undefined);
      let configured = false;
      void cluster.propose({ kind: "configure", site }).then(() => {
        configured = true;
      });
      await waitFor(() => configured);
      for (const vm of vms) {
        await vm.node.start();
      }
      announceAll();
      timer.every(ANNOUNCE_MS, announceAll);
      await waitFor(() =>
        vms.every((vm) =>
          vm.node.ready &&
          vm.node.directory.service(SERVICE)?.members.length === vms.length
        )
      );
    },
    call(order) {
      const { via, path, key, tenant, body } = order;
      const method = order.method ?? "GET";
      const requestId = `r${calls.length + 1}`;
      const record: CallRecord = {
        name: order.name ?? requestId,
        via,
        requestId,
        key: key ?? "",
        tenant: tenant ?? "",
        repeatable: order.repeatable ?? method === "GET",
        startedAt: timer.now(),
        endedAt: Infinity,
        reply: undefined,
        body: "",
      };
      calls.push(record);
      const headers: [string, string][] = [
        ["mustardcross-request-id", requestId],
      ];
      if (key) {
        headers.push(["idempotency-key", key]);
      }
      if (tenant) {
        headers.push(["mustardcross-tenant", tenant]);
      }
      const bytes = new TextEncoder().encode(body ?? "");
      void vmNamed(via).node.ingress.handle({
        requestId,
        method,
        host: "",
        path,
        timeoutMs: order.timeoutMs,
        headers,
        body: bytes,
        bodyLength: bytes.length,
        signal: order.signal ?? neverCancelled,
      }).then((reply) => {
        record.reply = reply;
        record.endedAt = timer.now();
        record.body = reply.body instanceof Uint8Array
          ? new TextDecoder().decode(reply.body)
          : "(stream)";
      });
      return record;
    },
    holdUp(name, durationMs) {
      const freezer = freezerOf(name);
      const letRead = network.holdUp(name);
      freezer.freeze();
      timer.after(durationMs, async () => {
        letRead();
        await settle();
        freezer.thaw();
      });
    },
    killNode(name) {
      const vm = vmNamed(name);
      vm.alive = false;
      network.kill(name);
      void vm.rpc.close();
      void vm.supervisor.stop();
    },
    async startNode(name) {
      const index = vms.findIndex((vm) => vm.name === name);
      const { versions, ...rest } = vms[index];
      const started = buildNode(rest);
      // What was in force before counts for what may come after.
      started.versions.push(...versions);
      vms[index] = started;
      await started.node.start();
    },
  };
  return world;
}
