/**
 * The ingress alone, inside a caller's own process, which saves a hop.
 * @module
 */
import { neverCancelled } from "./core/cancellation.ts";
import { errorFields } from "./core/errors.ts";
import { type Logger, silentLogger } from "./core/logger.ts";
import { createSystemRandom } from "./core/random.ts";
import { createSupervisor } from "./core/tasks.ts";
import { createHttpBackend } from "./guard/http_backend.ts";
import type { Call, Reply } from "./ingress/call.ts";
import type { Network } from "./network/channel.ts";
import { tcpNetwork } from "./network/tcp.ts";
import { createNode, type Node } from "./node/node.ts";
import { createGrpcRpc } from "./rpc/grpc_rpc.ts";
import { createSystemTimer, sleep } from "./time/timer.ts";

/** What an embedded ingress needs to know. */
export interface EmbeddedOptions {
  /** Name of the caller. */
  name: string;
  /** Failure domain of the caller, so that it prefers servers nearby. */
  domain: string;
  /** RPC addresses of the control replicas. */
  controlAddresses: readonly string[];
  /** Receives events. */
  logger?: Logger;
}

/** The ingress inside a caller's process. */
export interface EmbeddedIngress {
  /** Handles a request. Never rejects. */
  call(call: Partial<Call> & Pick<Call, "path">): Promise<Reply>;
  /** The node that carries the ingress. */
  readonly node: Node;
  /** Stops; requests in flight must have ended. */
  stop(): Promise<void>;
}

const READY_TIMEOUT_MS = 10_000;
const READY_CHECK_MS = 20;
/** An embedded ingress takes no attempts: it has no backend server. */
const NOT_LISTENING = "";

/** An embedded ingress only connects; nobody connects to it. */
const outwardOnly: Network = {
  connect: tcpNetwork.connect,
  listen: (address) =>
    Promise.resolve({ address, close: () => Promise.resolve() }),
};

/** Creates an ingress and waits until it knows the site. */
export async function createEmbeddedIngress(
  options: EmbeddedOptions,
): Promise<EmbeddedIngress> {
  const timer = createSystemTimer();
  const random = createSystemRandom();
  const logger = options.logger ?? silentLogger;
  const supervisor = createSupervisor({
    timer,
    report: (task, error) =>
      logger.error("task.failed", { task, ...errorFields(error) }),
  });
  const rpc = createGrpcRpc();
  const node = createNode({
    vm: options.name,
    domain: options.domain,
    region: "default",
    peerAddress: NOT_LISTENING,
    controlAddresses: options.controlAddresses,
    network: outwardOnly,
    rpc,
    timer,
    random,
    logger,
    supervisor,
    createBackend: createHttpBackend,
  });
  await node.start();
  const deadline = timer.now() + READY_TIMEOUT_MS;
  while (!node.ready && timer.now() < deadline) {
    await sleep(timer, READY_CHECK_MS);
  }
  return {
    node,
    call: (call) =>
      node.ingress.handle({
        requestId: random.identifier(),
        method: "GET",
        host: "",
        timeoutMs: undefined,
        headers: [],
        body: new Uint8Array(),
        bodyLength: undefined,
        signal: neverCancelled,
        ...call,
      }),
    async stop() {
      await node.stop();
      await supervisor.stop();
      await rpc.close();
    },
  };
}
