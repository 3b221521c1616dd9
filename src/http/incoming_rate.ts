/**
 * Tells clients that send a request too slowly: some bytes now and then, so that
 * its connection is never idle and its request never ends.
 * @module
 */

/** Time for which a request may come slowly, in milliseconds. */
const MIN_INCOMPLETE_MS = 3_000;
/** Bytes a second below which a request comes slowly. */
const MIN_BYTES_PER_S = 1_024;
const MS_PER_SECOND = 1_000;

/** The rate at which the request that a connection receives comes in. */
export interface IncomingRate {
  /** Counts bytes that were read at a time, in milliseconds. */
  note(bytes: number, now: number): void;
  /** Called when no request is incomplete. */
  complete(): void;
  /** Whether a request has been coming too slowly for too long. */
  isSlow(now: number): boolean;
}

/** Creates the rate of a connection on which nothing has come yet. */
export function createIncomingRate(): IncomingRate {
  let since: number | undefined;
  let received = 0;
  return {
    note(bytes, now) {
      since ??= now;
      received += bytes;
    },
    complete() {
      since = undefined;
      received = 0;
    },
    isSlow(now) {
      if (since === undefined || now - since < MIN_INCOMPLETE_MS) {
        return false;
      }
      return received * MS_PER_SECOND < MIN_BYTES_PER_S * (now - since);
    },
  };
}
