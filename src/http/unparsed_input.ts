/**
 * Input of a connection that the HTTP parser has not received yet.
 * @module
 */

/**
 * The end of a request's head. A request ends no earlier, so a part of the input
 * up to the first one has at most one new request, or two if the end of the head
 * before was split over two reads.
 */
export const HEAD_END = Buffer.from("\n\r\n");
/** Memory that each read of the input takes, however short it is, in bytes. */
const MIN_READ_BYTES = 512;

/** Input that waits to be parsed. */
export interface UnparsedInput {
  readonly isEmpty: boolean;
  /** Memory that it takes, in bytes. */
  readonly bytes: number;
  /** Adds what was read. */
  push(read: Buffer): void;
  /** Takes the input up to the end of the next head; there must be some. */
  takePart(): Buffer;
  clear(): void;
}

/** Creates an empty input. */
export function createUnparsedInput(): UnparsedInput {
  /** What was read, in order; `offset` bytes of the first are parsed. */
  let reads: Buffer[] = [];
  let offset = 0;
  let bytes = 0;
  return {
    get isEmpty() {
      return reads.length === 0;
    },
    get bytes() {
      return bytes;
    },
    push(read) {
      reads.push(read);
      bytes += Math.max(read.length, MIN_READ_BYTES);
    },
    takePart() {
      const [first] = reads;
      const index = first.indexOf(HEAD_END, offset);
      const end = index < 0 ? first.length : index + HEAD_END.length;
      const part = first.subarray(offset, end);
      offset = end;
      if (end === first.length) {
        reads.shift();
        offset = 0;
        bytes -= Math.max(first.length, MIN_READ_BYTES);
      }
      return part;
    },
    clear() {
      reads = [];
      offset = 0;
      bytes = 0;
    },
  };
}
