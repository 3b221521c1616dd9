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
  /** Returns a handler that notes when parts of an answer have come. */
  watch(handler: Dispatcher.DispatchHandlers): Dispatcher.DispatchHandlers;
}

const FIRST_FINAL_STATUS = 200;

/**
 * Creates a meter. A connection is destroyed with the error of `excess` once
 * more than `limit` bytes came after the last part of an answer.
 */
export function createByteMeter(limit: number, excess: () => Error): ByteMeter {
  let current: Socket | undefined;
  let watched: Socket | undefined;
  let bytesAtProgress = 0;

  function check(socket: Socket): void {
    // What is held back was not parsed yet.
    const parsed = socket === current && socket.readableLength === 0;
    if (parsed && socket.bytesRead - bytesAtProgress > limit) {
      socket.destroy(excess());
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
