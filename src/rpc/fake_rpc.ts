/**
 * In-memory calls with delays, losses and duplicates that a test controls.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { errorMessage, StepError } from "../core/errors.ts";
import type { Timer } from "../time/timer.ts";
import type { Call, Rpc } from "./rpc.ts";

/** Delivery of one message. */
export interface Delivery {
  /** Whether the message is lost. */
  lost: boolean;
  /** Delay in milliseconds. */
  delayMs: number;
  /** Whether a second copy of a request arrives after twice the delay. */
  duplicated?: boolean;
}

/** One message, a request or a reply, whose delivery is to be decided. */
export interface Message {
  /** Host or address of the sender. */
  from: string;
  /** Address or host of the receiver. */
  to: string;
  /** Name of the method. */
  method: string;
  /** Whether the message is the reply. */
  reply: boolean;
}

/** A network of calls that a test controls. */
export interface FakeRpcNetwork {
  /** Returns the RPC interface of a process. */
  from(host: string): Rpc;
  /** Decides the delivery of each message; tests may replace it. */
  decideDelivery: (message: Message) => Delivery;
  /** Replaces the replies of one method before they are delivered. */
  replaceReplies(method: string, change: (reply: unknown) => unknown): void;
  /** Removes the server at an address, as a crash does. */
  kill(address: string): void;
}

type UntypedHandler = (request: unknown) => Promise<unknown>;

/** Creates a fake network of calls. */
export function createFakeRpcNetwork(
  timer: Timer,
  delayMs: number,
): FakeRpcNetwork {
  const replyChanges = new Map<string, (reply: unknown) => unknown>();
  const servers = new Map<string, Map<string, UntypedHandler>>();

  function call<Q, R>(
    from: string,
    call: Call<Q, R>,
  ): Promise<Result<R, StepError>> {
    const { peer, method, request, timeoutMs } = call;
    const step = `rpc.${method.name}`;
    return new Promise((resolve) => {
      const timeout = timer.after(timeoutMs, () => fail("timed out"));
      function fail(message: string): void {
        timeout.cancel();
        resolve(err(new StepError(step, message, { peer })));
      }
      function deliverRequest(): void {
        const handler = servers.get(peer)?.get(method.name);
        if (!handler) {
          fail("connection refused");
          return;
        }
        const copy = method.request.parse(structuredClone(request));
        handler(copy).then(
          (reply) => {
            const change = replyChanges.get(method.name);
            const copiedReply = structuredClone(reply) as unknown;
            deliverReply(
              method.reply.parse(change ? change(copiedReply) : copiedReply),
            );
          },
          (error) => fail(errorMessage(error)),
        );
      }
      function deliverReply(reply: R): void {
        const replyDelivery = network.decideDelivery({
          from: peer,
          to: from,
          method: method.name,
          reply: true,
        });
        if (!replyDelivery.lost) {
          timer.after(replyDelivery.delayMs, () => {
            timeout.cancel();
            resolve(ok(reply));
          });
        }
      }
      const requestDelivery = network.decideDelivery({
        from,
        to: peer,
        method: method.name,
        reply: false,
      });
      if (!requestDelivery.lost) {
        timer.after(requestDelivery.delayMs, deliverRequest);
        if (requestDelivery.duplicated) {
          timer.after(requestDelivery.delayMs * 2, deliverRequest);
        }
      }
    });
  }

  const network: FakeRpcNetwork = {
    replaceReplies: (method, change) => replyChanges.set(method, change),
    decideDelivery: () => ({ lost: false, delayMs }),
    kill: (address) => servers.delete(address),
    from(host) {
      const handlers = new Map<string, UntypedHandler>();
      let boundAddress: string | undefined;
      let closed = false;
      return {
        call: (request) => closed ? new Promise(() => {}) : call(host, request),
        handle(method, handler) {
          handlers.set(method.name, handler as unknown as UntypedHandler);
        },
        listen(address) {
          boundAddress = address;
          servers.set(address, handlers);
          return Promise.resolve(address);
        },
        close() {
          closed = true;
          if (boundAddress && servers.get(boundAddress) === handlers) {
            servers.delete(boundAddress);
          }
          return Promise.resolve();
        },
      };
    },
  };
  return network;
}
