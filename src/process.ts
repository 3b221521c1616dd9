/**
 * Starts a process with the roles that its settings enable, and shuts it down
 * gracefully.
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
import { type ClientBudget, createClientBudget } from "./http/client_budget.ts";
import { type CallerServer, createCallerServer } from "./http/caller_server.ts";
import type { CallerDialect } from "./http/dialect.ts";
import { createLocalApi } from "./http/local_api.ts";
import { registerControlGauges } from "./control/gauges.ts";
import { createMetricsApi } from "./http/metrics_api.ts";
import {
  logEventLoopDelays,
  registerProcessGauges,
} from "./metrics/event_loop.ts";
import { watchBusyPeriods } from "./metrics/busy_periods.ts";
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
  /** The node, if the process has the `node` role. */
  readonly node: Node | undefined;
  /** The control replica, if the process has the `control` role. */
  readonly control: Control | undefined;
  /** Stops gracefully, so that requests in flight get their responses. */
  stop(): Promise<void>;
}

/** An HTTP API that is served alongside a node or a control replica. */
export interface Attachment {
  /** Stops serving. */
  stop(): Promise<void>;
}

/** Services that all components of a process share. */
export interface ProcessContext {
  timer: Timer;
  random: Random;
  logger: Logger;
  supervisor: Supervisor;
  lag: EventLoopLag;
  /** What the HTTP servers of the process may hold for their clients. */
  clients: ClientBudget;
}

/** Extension points by which a platform replaces or adds components. */
export interface Platform {
  /** Header names towards callers; the product's own by default. */
  callerDialect?: CallerDialect;
  /** Creates clients of backend servers; HTTP clients by default. */
  createBackend?: BackendFactory;
  /** Service of this VM, if it is known before its backend server registers. */
  service?: string;
  /** Serves additional interfaces of a node; they stop after the node. */
  attachNode?(node: Node, context: ProcessContext): Promise<Attachment>;
  /** Serves additional interfaces of a control replica; they stop before it. */
  attachControl?(
    control: Control,
    context: ProcessContext,
  ): Promise<Attachment>;
}

const DEFAULT_LINGER_MS = 1_500;
const DEFAULT_DRAIN_MS = 30_000;

const NO_ATTACHMENT: Attachment = { stop: () => Promise.resolve() };

interface NodeRole {
  node: Node;
  callerServer: CallerServer;
  attachments: Attachment[];
}

interface ControlRole {
  control: Control;
  attachments: Attachment[];
}

async function startAdmin(
  role: NonNullable<ProcessSettings["control"]>,
  options: { control: Control; context: ProcessContext },
): Promise<Attachment> {
  const { admin_address: address, token_file: tokenFile } = role;
  if (!address || !tokenFile) {
    return NO_ATTACHMENT;
  }
  const { control, context } = options;
  const operators = readOperators(tokenFile);
  const admin = createAdminApi({ control, operators, ...context });
  const boundAddress = await admin.listen(address);
  context.logger.info("control.admin_started", { admin: boundAddress });
  return admin;
}

/** Serves the metrics of a control replica. */
async function startControlMetrics(
  address: string | undefined,
  { control, context }: {
    control: Control;
    context: ProcessContext;
  },
): Promise<Attachment> {
  if (!address) {
    return NO_ATTACHMENT;
  }
  const { lag, clients } = context;
  const metrics = createMetrics();
  registerControlGauges(metrics, control);
  registerProcessGauges(metrics, lag);
  watchBusyPeriods({ ...context, metrics });
  const api = createMetricsApi(metrics, clients);
  await api.listen(address);
  return api;
}

async function startControl(
  settings: ProcessSettings,
  options: { context: ProcessContext; platform: Platform },
): Promise<ControlRole | undefined> {
  const role = settings.control;
  if (!role) {
    return undefined;
  }
  const { context, platform } = options;
  await prepareHashes();
  const control = createControl({
    vm: settings.vm,
    address: role.rpc_address,
    founders: role.founders,
    mayFound: role.may_found,
    disk: await openSystemDisk(role.data),
    rpc: createGrpcRpc(),
    ...context,
  });
  await control.start();
  const attachments = [
    await startAdmin(role, { control, context }),
    await startControlMetrics(role.metrics_address, { control, context }),
    await platform.attachControl?.(control, context) ?? NO_ATTACHMENT,
  ];
  context.logger.info("control.started", { rpc: role.rpc_address });
  return { control, attachments };
}

async function startNode(
  settings: ProcessSettings,
  options: { context: ProcessContext; platform: Platform },
): Promise<NodeRole | undefined> {
  const role = settings.node;
  if (!role) {
    return undefined;
  }
  const { context, platform } = options;
  const node = createNode({
    vm: settings.vm,
    domain: settings.domain,
    region: settings.region,
    peerAddress: role.peer_address,
    service: platform.service,
    controlAddresses: settings.control_addresses,
    network: createTcpNetwork(context.lag),
    rpc: createGrpcRpc(),
    createBackend: platform.createBackend ?? createHttpBackend,
    ...context,
  });
  await node.start();
  registerProcessGauges(node.metrics, context.lag);
  watchBusyPeriods({ ...context, metrics: node.metrics });
  const callerServer = createCallerServer({
    node,
    dialect: platform.callerDialect,
    ...context,
  });
  const localApi = createLocalApi({ node, ...context });
  const local = await localApi.listen(role.local_address);
  const callers = await callerServer.listen(role.caller_address);
  const attachment = await platform.attachNode?.(node, context) ??
    NO_ATTACHMENT;
  context.logger.info("node.started", {
    callers,
    local,
    peers: node.peerAddress,
  });
  return { node, callerServer, attachments: [localApi, attachment] };
}

async function stopNode(
  role: NodeRole,
  context: ProcessContext,
): Promise<void> {
  const { node, callerServer, attachments } = role;
  const limits = node.directory.global?.limits.timeouts;
  const drained = Promise.all([
    callerServer.stop(limits?.linger_ms ?? DEFAULT_LINGER_MS),
    node.drain(),
  ]);
  try {
    await withTimeout(context.timer, drained, {
      step: "node.drain",
      peer: "local",
      timeoutMs: limits?.drain_ms ?? DEFAULT_DRAIN_MS,
    });
  } catch (error) {
    context.logger.error("node.drain_cut", {
      requests: node.ingress.inFlight,
      runs: node.guard.load().inFlight,
      connections: callerServer.connections,
      ...errorFields(error),
    });
  }
  await node.stop();
  attachments.forEach((attachment) => void attachment.stop());
  context.logger.info("node.stopped", {});
}

async function stopControl(
  role: ControlRole,
  context: ProcessContext,
): Promise<void> {
  await Promise.all(role.attachments.map((attachment) => attachment.stop()));
  await role.control.stop();
  context.logger.info("control.stopped", {});
}

/** Starts a process with the roles that its settings enable. */
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
  const context: ProcessContext = {
    timer,
    random: options.random ?? createSystemRandom(),
    logger,
    lag: createEventLoopLag(),
    clients: createClientBudget({
      limits: settings.clients,
      timer,
      onShed: (shed) => logger.warn("http.connections_shed", { ...shed }),
    }),
    supervisor: createSupervisor({
      timer,
      report: (task, error) =>
        logger.error("task.failed", { task, ...errorFields(error) }),
    }),
  };
  logEventLoopDelays(context);
  const controlRole = await startControl(settings, { context, platform });
  const nodeRole = await startNode(settings, { context, platform });
  return {
    node: nodeRole?.node,
    control: controlRole?.control,
    async stop() {
      if (nodeRole) {
        await stopNode(nodeRole, context);
      }
      if (controlRole) {
        await stopControl(controlRole, context);
      }
      await context.supervisor.stop();
      context.lag.stop();
    },
  };
}
