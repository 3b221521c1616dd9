/**
 * Tells which clients send requests before they have the answers to earlier ones,
 * and how many bytes of answers they were sent meanwhile: these may lie unread in
 * the system's buffers, which the process cannot see.
 * @module
 */
import type { Connection } from "./connections.ts";

/** The requests that the client of one connection sends ahead. */
export interface RequestsAhead {
  /** Whether there were some since the connection was last idle. */
  readonly any: boolean;
  /** Bytes of answers since then; 0 without requests ahead. */
  readonly answerBytes: number;
  /** Bytes of answers that the client's system has taken so far. */
  readonly sentBytes: number;
  /** Notes that input has come; `waits` tells whether earlier input is unparsed. */
  noteInput(waits: boolean): void;
  /** Notes that input was parsed; `waits` tells whether more is unparsed. */
  noteParsed(waits: boolean): void;
}

/** Creates the state of a connection that has received nothing. */
export function createRequestsAhead(connection: Connection): RequestsAhead {
  const { socket } = connection;
  let any = false;
  /** Bytes that the client's system had taken when the connection was last idle. */
  let sentWhenIdle = 0;

  function sentBytes(): number {
    return socket.bytesWritten - socket.writableLength;
  }

  /** Whether input belongs to a request behind one that is handled. */
  function isBehindRequest(): boolean {
    return connection.pending > 0 && !connection.receiving;
  }

  return {
    get any() {
      return any;
    },
    get answerBytes() {
      return any ? sentBytes() - sentWhenIdle : 0;
    },
    get sentBytes() {
      return sentBytes();
    },
    noteInput(waits) {
      if (connection.idle && !waits) {
        any = false;
        sentWhenIdle = sentBytes();
      } else if (isBehindRequest()) {
        any = true;
      }
    },
    noteParsed(waits) {
      any ||= waits && isBehindRequest();
    },
  };
}
