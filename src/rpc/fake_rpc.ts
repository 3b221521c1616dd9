/**
 * Calls in memory with delays, losses and duplicates under a test's control.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { errorMessage, StepError } from "../core/errors.ts";
import type { Timer } from "../time/timer.ts";
import type { Call, Rpc } from "./rpc.ts";

/** What happens to one message. */
export interface Fate {
  /** Whether the message is lost. */
  lost: boolean;
  /** Delay in milliseconds. */
  delayMs: number;
  /** Whether it arrives a second time, after as long again. */
  duplicated?: boolean;
}

/** One message, as shown to the function that decides its fate. */
export interface Passage {
  /** Name of the sender. */
  from: string;
  /** Address of the receiver. */
  to: string;
  /** Kind of the call. */
  method: string;
  /** Whether it is the reply. */
  reply: boolean;
}

/** A network of calls under a test's control. */
export interface FakeRpcNetwork {
  /** Returns the calls of a process. */
  from(host: string): Rpc;
  /** Decides what happens to each message. */
  fate: (passage: Passage) => Fate;
  /** Changes the replies to one kind of call on their way. */
  replaceReplies(method: string, change: (reply: unknown) => unknown): void;
  /** Stops a process from answering, as a crash would. */
  kill(address: string): void;
}

type AnyHandler = (request: unknown) => Promise<unknown>;

/** Creates a fake network of calls. */
export function createFakeRpcNetwork(
  timer: Timer,
  delayMs: number,
): FakeRpcNetwork {
  const replacements = new Map<string, (reply: unknown) => unknown>();
  const servers = new Map<string, Map<string, AnyHandler>>();

  function call<Q, R>(
    from: string,
    call: Call<Q, R>,
  ): Promise<Result<R, StepError>> {
    const { peer, method, request, timeoutMs } = call;
    const step = `rpc.${method.name}`;
    return new Promise((resolve) => {
      const expiry = timer.after(timeoutMs, () => fail("timed out"));
      function fail(message: string): void {
        expiry.cancel();
        resolve(err(new StepError(step, message, { peer })));
      }
      function arrive(): void {
        const handler = servers.get(peer)?.get(method.name);
        if (!handler) {
          fail("connection refused");
          return;
        }
        const copy = method.request.parse(structuredClone(request));
        handler(copy).then(
          (reply) => {
            const change = replacements.get(method.name);
            const passed = structuredClone(reply) as unknown;
            answer(method.reply.parse(change ? change(passed) : passed));
          },
          (error) => fail(errorMessage(error)),
        );
      }
      function answer(reply: R): void {
        const back = network.fate({
          from: peer,
          to: from,
          method: method.name,
          reply: true,
        });
        if (!back.lost) {
          timer.after(back.delayMs, () => {
            expiry.cancel();
            resolve(ok(reply));
          });
        }
      }
      const out = network.fate({
        from,
        to: peer,
        method: method.name,
        reply: false,
      });
      if (!out.lost) {
        timer.after(out.delayMs, arrive);
        if (out.duplicated) {
          timer.after(out.delayMs * 2, arrive);
        }
      }
    });
  }

  const network: FakeRpcNetwork = {
    replaceReplies: (method, change) => replacements.set(method, change),
    fate: () => ({ lost: false, delayMs }),
    kill: (address) => servers.delete(address),
    from(host) {
      const handlers = new Map<string, AnyHandler>();
      let bound: string | undefined;
      let closed = false;
      return {
        call: (request) => closed ? new Promise(() => {}) : call(host, request),
        handle(method, handler) {
          handlers.set(method.name, handler as unknown as AnyHandler);
        },
        listen(address) {
          bound = address;
          servers.set(address, handlers);
          return Promise.resolve(address);
        },
        close() {
          closed = true;
          if (bound && servers.get(bound) === handlers) {
            servers.delete(bound);
          }
          return Promise.resolve();
        },
      };
    },
  };
  return network;
}
