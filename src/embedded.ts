/**
 * An ingress inside a caller's own process, which saves a network hop.
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

/** Options of {@link createEmbeddedIngress}. */
export interface EmbeddedOptions {
  /** Name of the caller. */
  name: string;
  /** Failure domain of the caller; servers in the same one are preferred. */
  domain: string;
  /** RPC addresses of the control replicas. */
  controlAddresses: readonly string[];
  /** Receives log events; by default there is no log. */
  logger?: Logger;
}

/** An ingress inside a caller's process. */
export interface EmbeddedIngress {
  /** Handles a request; the promise never rejects. */
  call(call: Partial<Call> & Pick<Call, "path">): Promise<Reply>;
  /** The node to which the ingress belongs. */
  readonly node: Node;
  /**
   * Stops the ingress without waiting for requests in flight; the caller must
   * await them before.
   */
  stop(): Promise<void>;
}

const READY_TIMEOUT_MS = 10_000;
const READY_CHECK_MS = 20;
/** Empty, because without a backend server no peer sends attempts here. */
const NO_PEER_ADDRESS = "";

/** A network that makes outgoing connections and never listens. */
const connectOnlyNetwork: Network = {
  connect: tcpNetwork.connect,
  listen: (address) =>
    Promise.resolve({ address, close: () => Promise.resolve() }),
};

/**
 * Creates an ingress and waits until it has the site's configuration, or for
 * `READY_TIMEOUT_MS`.
 */
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
    peerAddress: NO_PEER_ADDRESS,
    controlAddresses: options.controlAddresses,
    network: connectOnlyNetwork,
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
