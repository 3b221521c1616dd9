/**
 * Average size of the answers to each request class, so that large answers can
 * be requested from a server in the same failure domain.
 * @module
 */
import { headerValue } from "../core/headers.ts";
import type { ReceivedAnswer } from "./exchange_end.ts";

/** Average answer sizes by request class. */
export interface AnswerSizes {
  /** Records the size of an answer to a request of a class. */
  record(className: string, received: ReceivedAnswer): void;
  /** Returns the average size of answers; 0 while it is unknown. */
  averageBytes(className: string): number;
}

/** Weight of a new answer in the moving average. */
const SAMPLE_WEIGHT = 0.1;
const MAX_CLASSES = 1_000;

/** Returns the size of an answer; for a stream, the declared one if any. */
function sizeInBytes({ answer, body }: ReceivedAnswer): number {
  if (body instanceof Uint8Array) {
    return body.length;
  }
  const declared = Number(headerValue(answer.headers, "content-length"));
  return Number.isFinite(declared) ? declared : answer.body.length;
}

/** Creates averages without recorded answers. */
export function createAnswerSizes(): AnswerSizes {
  const sizes = new Map<string, number>();
  return {
    record(className, received) {
      const bytes = sizeInBytes(received);
      const average = sizes.get(className);
      if (average !== undefined) {
        sizes.set(className, average + SAMPLE_WEIGHT * (bytes - average));
      } else if (sizes.size < MAX_CLASSES) {
        sizes.set(className, bytes);
      }
    },
    averageBytes: (className) => sizes.get(className) ?? 0,
  };
}
