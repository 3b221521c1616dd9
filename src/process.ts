/**
 * A process with the roles that its settings name, and its planned stop.
 * @module
 */
import { type Control, createControl } from "./control/control.ts";
import { errorFields } from "./core/errors.ts";
import { prepareHashes } from "./core/hash.ts";
import type { Logger } from "./core/logger.ts";
import { createSystemRandom, type Random } from "./core/random.ts";
import { createSupervisor, type Supervisor } from "./core/tasks.ts";
import { openSystemDisk } from "./disk/system_disk.ts";
import type { BackendFactory } from "./guard/backend.ts";
import { createHttpBackend } from "./guard/http_backend.ts";
import { createAdminApi, readOperators } from "./http/admin_api.ts";
import { type CallerFront, createCallerFront } from "./http/caller_front.ts";
import type { CallerDialect } from "./http/dialect.ts";
import { createLocalApi } from "./http/local_api.ts";
import { watchControl } from "./control/gauges.ts";
import { createMetricsApi } from "./http/metrics_api.ts";
import { logDelays, watchEventLoop } from "./metrics/event_loop.ts";
import { createMetrics } from "./metrics/metrics.ts";
import { createTcpNetwork } from "./network/tcp.ts";
import { createNode, type Node } from "./node/node.ts";
import { createGrpcRpc } from "./rpc/grpc_rpc.ts";
import type { ProcessSettings } from "./settings/process.ts";
import {
  createEventLoopLag,
  type EventLoopLag,
} from "./time/event_loop_lag.ts";
import { createSystemTimer, type Timer, withTimeout } from "./time/timer.ts";

/** A running process. */
export interface MustardcrossProcess {
  /** The `node` role, if it has one. */
  readonly node: Node | undefined;
  /** The `control` role, if it has one. */
  readonly control: Control | undefined;
  /** Stops gracefully: no request in flight is cut. */
  stop(): Promise<void>;
}

/** An interface that is served beside the product's own. */
export interface Attachment {
  /** Stops serving. */
  stop(): Promise<void>;
}

/** What every part of a process shares. */
export interface ProcessParts {
  timer: Timer;
  random: Random;
  logger: Logger;
  supervisor: Supervisor;
  lag: EventLoopLag;
}

/** What a platform brings in place of, or beside, the product's own. */
export interface Platform {
  /** How callers' HTTP names things. */
  callerDialect?: CallerDialect;
  /** Clients of backend servers. */
  createBackend?: BackendFactory;
  /** Service of this VM, known before its backend server announces itself. */
  service?: string;
  /** Serves interfaces of a node; they stop once the node has stopped. */
  attachNode?(node: Node, parts: ProcessParts): Promise<Attachment>;
  /** Serves interfaces of a control replica; they stop before the replica. */
  attachControl?(control: Control, parts: ProcessParts): Promise<Attachment>;
}

const DEFAULT_LINGER_MS = 1_500;
const DEFAULT_DRAIN_MS = 30_000;

const NOTHING_ATTACHED: Attachment = { stop: () => Promise.resolve() };

interface NodeRole {
  node: Node;
  front: CallerFront;
  attachments: Attachment[];
}

interface ControlRole {
  control: Control;
  attachments: Attachment[];
}

async function startAdmin(
  role: NonNullable<ProcessSettings["control"]>,
  options: { control: Control; parts: ProcessParts },
): Promise<Attachment> {
  const { admin_address: address, token_file: tokenFile } = role;
  if (!address || !tokenFile) {
    return NOTHING_ATTACHED;
  }
  const { control, parts } = options;
  const operators = readOperators(tokenFile);
  const admin = createAdminApi({ control, operators, ...parts });
  const bound = await admin.listen(address);
  parts.logger.info("control.admin_started", { admin: bound });
  return admin;
}

/** Serves what a replica says of itself as metrics. */
async function startControlMetrics(
  address: string | undefined,
  { control, lag }: { control: Control; lag: EventLoopLag },
): Promise<Attachment> {
  if (!address) {
    return NOTHING_ATTACHED;
  }
  const metrics = createMetrics();
  watchControl(metrics, control);
  watchEventLoop(metrics, lag);
  const api = createMetricsApi(metrics);
  await api.listen(address);
  return api;
}

async function startControl(
  settings: ProcessSettings,
  options: { parts: ProcessParts; platform: Platform },
): Promise<ControlRole | undefined> {
  const role = settings.control;
  if (!role) {
    return undefined;
  }
  const { parts, platform } = options;
  await prepareHashes();
  const control = createControl({
    vm: settings.vm,
    address: role.rpc_address,
    founders: role.founders,
    mayFound: role.may_found,
    disk: await openSystemDisk(role.data),
    rpc: createGrpcRpc(),
    ...parts,
  });
  await control.start();
  const attachments = [
    await startAdmin(role, { control, parts }),
    await startControlMetrics(role.metrics_address, { control, ...parts }),
    await platform.attachControl?.(control, parts) ?? NOTHING_ATTACHED,
  ];
  parts.logger.info("control.started", { rpc: role.rpc_address });
  return { control, attachments };
}

async function startNode(
  settings: ProcessSettings,
  options: { parts: ProcessParts; platform: Platform },
): Promise<NodeRole | undefined> {
  const role = settings.node;
  if (!role) {
    return undefined;
  }
  const { parts, platform } = options;
  const node = createNode({
    vm: settings.vm,
    domain: settings.domain,
    region: settings.region,
    peerAddress: role.peer_address,
    service: platform.service,
    controlAddresses: settings.control_addresses,
    network: createTcpNetwork(parts.lag),
    rpc: createGrpcRpc(),
    createBackend: platform.createBackend ?? createHttpBackend,
    ...parts,
  });
  await node.start();
  watchEventLoop(node.metrics, parts.lag);
  const front = createCallerFront({
    node,
    dialect: platform.callerDialect,
    ...parts,
  });
  const localApi = createLocalApi({ node, ...parts });
  const local = await localApi.listen(role.local_address);
  const callers = await front.listen(role.caller_address);
  const attachment = await platform.attachNode?.(node, parts) ??
    NOTHING_ATTACHED;
  parts.logger.info("node.started", {
    callers,
    local,
    peers: node.peerAddress,
  });
  return { node, front, attachments: [localApi, attachment] };
}

async function stopNode(role: NodeRole, parts: ProcessParts): Promise<void> {
  const { node, front, attachments } = role;
  const limits = node.directory.global?.limits.timeouts;
  const drained = Promise.all([
    front.stop(limits?.linger_ms ?? DEFAULT_LINGER_MS),
    node.drain(),
  ]);
  try {
    await withTimeout(parts.timer, drained, {
      step: "node.drain",
      peer: "local",
      timeoutMs: limits?.drain_ms ?? DEFAULT_DRAIN_MS,
    });
  } catch (error) {
    parts.logger.error("node.drain_cut", {
      requests: node.ingress.inFlight,
      runs: node.guard.load().inFlight,
      connections: front.connections,
      ...errorFields(error),
    });
  }
  await node.stop();
  attachments.forEach((attachment) => void attachment.stop());
  parts.logger.info("node.stopped", {});
}

async function stopControl(
  role: ControlRole,
  parts: ProcessParts,
): Promise<void> {
  await Promise.all(role.attachments.map((attachment) => attachment.stop()));
  await role.control.stop();
  parts.logger.info("control.stopped", {});
}

/** Starts a process with the roles that its settings name. */
export async function startProcess(
  settings: ProcessSettings,
  options: {
    logger: Logger;
    timer?: Timer;
    random?: Random;
    platform?: Platform;
  },
): Promise<MustardcrossProcess> {
  const timer = options.timer ?? createSystemTimer();
  const logger = options.logger.with({ vm: settings.vm });
  const { platform = {} } = options;
  const parts: ProcessParts = {
    timer,
    random: options.random ?? createSystemRandom(),
    logger,
    lag: createEventLoopLag(),
    supervisor: createSupervisor({
      timer,
      report: (task, error) =>
        logger.error("task.failed", { task, ...errorFields(error) }),
    }),
  };
  logDelays(parts);
  const controlRole = await startControl(settings, { parts, platform });
  const nodeRole = await startNode(settings, { parts, platform });
  return {
    node: nodeRole?.node,
    control: controlRole?.control,
    async stop() {
      if (nodeRole) {
        await stopNode(nodeRole, parts);
      }
      if (controlRole) {
        await stopControl(controlRole, parts);
      }
      await parts.supervisor.stop();
      parts.lag.stop();
    },
  };
}
