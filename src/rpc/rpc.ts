/**
 * Remote procedure calls between processes, outside the request path.
 * @module
 */
import { z } from "zod";
import type { Result } from "neverthrow";
import type { StepError } from "../core/errors.ts";

/** An RPC method with the schemas of its request and reply. */
export interface Method<Q, R> {
  /** Name on the wire. */
  readonly name: string;
  /** Schema of the request. */
  readonly request: z.ZodType<Q>;
  /** Schema of the reply. */
  readonly reply: z.ZodType<R>;
}

/** One outgoing call. */
export interface Call<Q, R> {
  /** Address of the callee, `ip:port`. */
  peer: string;
  /** Method to call. */
  method: Method<Q, R>;
  /** Request to send. */
  request: Q;
  /** Longest wait in milliseconds. */
  timeoutMs: number;
}

/** Handles calls of one method. */
export type Handler<Q, R> = (request: Q) => Promise<R>;

/** Sends and handles calls. */
export interface Rpc {
  /** Calls a peer; an error contains the step and the peer. */
  call<Q, R>(call: Call<Q, R>): Promise<Result<R, StepError>>;
  /** Registers a handler; must be called before {@link Rpc.listen}. */
  handle<Q, R>(method: Method<Q, R>, handler: Handler<Q, R>): void;
  /** Starts handling calls; resolves to the bound address. */
  listen(address: string): Promise<string>;
  /** Stops accepting calls, waits briefly for running ones, and disconnects. */
  close(): Promise<void>;
}

/** Defines an RPC method. */
export function defineMethod<Q, R>(
  name: string,
  schemas: { request: z.ZodType<Q>; reply: z.ZodType<R> },
): Method<Q, R> {
  return { name, ...schemas };
}
