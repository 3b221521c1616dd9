/**
 * Counts what a backend server sends on a connection beside the parts of an
 * answer: heads, blank lines or extensions of chunks without end, and bytes
 * between answers. A connection that brings too much of it is closed.
 * @module
 */
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";

/** Counts the bytes of one client's connections, which follow each other. */
export interface ByteMeter {
  /** A new connection takes the place of the last one. */
  open(socket: Socket): void;
  /**
   * Returns a handler that notes when parts of an answer have come, and does
   * not take a head whose fields are too long.
   */
  watch(handler: Dispatcher.DispatchHandlers): Dispatcher.DispatchHandlers;
}

/** Bounds of what a connection may bring, in bytes. */
export interface ByteLimits {
  /** Names and values of an answer's header fields. */
  fields: number;
  /** What may come after the last part of an answer. */
  stray: number;
}

const FIRST_FINAL_STATUS = 200;

function sizeOf(fields: Buffer[]): number {
  return fields.reduce((size, field) => size + field.length, 0);
}

/** Creates a meter that closes a connection over a limit with an error. */
export function createByteMeter(
  limits: ByteLimits,
  excess: (bytes: number) => Error,
): ByteMeter {
  let current: Socket | undefined;
  let watched: Socket | undefined;
  let bytesAtProgress = 0;

  function check(socket: Socket): void {
    // What is held back was not parsed yet.
    const parsed = socket === current && socket.readableLength === 0;
    if (parsed && socket.bytesRead - bytesAtProgress > limits.stray) {
      socket.destroy(excess(limits.stray));
    }
  }

  function progress(): void {
    if (!current) {
      return;
    }
    const socket = current;
    bytesAtProgress = socket.bytesRead;
    if (watched !== socket) {
      watched = socket;
      // The library has added its listener, which parses, before this one.
      socket.on("readable", () => check(socket));
    }
  }

  return {
    open(socket) {
      current = socket;
      bytesAtProgress = 0;
    },
    watch: (handler) => ({
      onConnect(abort) {
        progress();
        handler.onConnect?.(abort);
      },
      onError: (error) => handler.onError?.(error),
      onUpgrade: (status, headers, socket) =>
        handler.onUpgrade?.(status, headers, socket),
      onResponseStarted: () => handler.onResponseStarted?.(),
      onHeaders(status, headers, resume, text) {
        // Heads of interim answers may follow each other without end.
        if (status >= FIRST_FINAL_STATUS) {
          progress();
        }
        if (sizeOf(headers) > limits.fields) {
          throw excess(limits.fields);
        }
        return handler.onHeaders?.(status, headers, resume, text) ?? true;
      },
      onData(chunk) {
        progress();
        return handler.onData?.(chunk) ?? true;
      },
      onComplete(trailers) {
        progress();
        handler.onComplete?.(trailers);
      },
      onBodySent: (size, total) => handler.onBodySent?.(size, total),
    }),
  };
}
