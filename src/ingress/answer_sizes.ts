/**
 * How large the answers to each kind of request usually are, so that long ones
 * can be fetched from near by.
 * @module
 */
import { headerValue } from "../core/headers.ts";
import type { ReceivedAnswer } from "./conversation.ts";

/** Sizes of answers by kind of request. */
export interface AnswerSizes {
  /** Learns from the answer to a request of a kind. */
  note(className: string, received: ReceivedAnswer): void;
  /** Returns the usual size in bytes; 0 while it is unknown. */
  of(className: string): number;
}

const WEIGHT = 0.1;
const MAX_CLASSES = 1_000;

/** Size of an answer: of a stream, as far as its head tells. */
function sizeOf({ answer, body }: ReceivedAnswer): number {
  if (body instanceof Uint8Array) {
    return body.length;
  }
  const declared = Number(headerValue(answer.headers, "content-length"));
  return Number.isFinite(declared) ? declared : answer.body.length;
}

/** Creates sizes that know nothing yet. */
export function createAnswerSizes(): AnswerSizes {
  const sizes = new Map<string, number>();
  return {
    note(className, received) {
      const size = sizeOf(received);
      const known = sizes.get(className);
      if (known !== undefined) {
        sizes.set(className, known + WEIGHT * (size - known));
      } else if (sizes.size < MAX_CLASSES) {
        sizes.set(className, size);
      }
    },
    of: (className) => sizes.get(className) ?? 0,
  };
}
