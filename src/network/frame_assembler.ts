/**
 * Assembles frames from the parts in which a connection brings them.
 * @module
 */
import { StepError } from "../core/errors.ts";
import type { Frame } from "./frames.ts";
import { decodeFrame, LENGTH_BYTES } from "./frame_codec.ts";

/** Largest frame accepted, in bytes. */
export const MAX_FRAME_BYTES = 1 << 20;

/** Assembles the frames of one connection. */
export interface FrameAssembler {
  /**
   * Adds bytes, and passes on the frames that they complete. Throws `StepError` if
   * a frame is too long or malformed.
   */
  push(chunk: Buffer): void;
}

/** Options of {@link createFrameAssembler}. */
export interface FrameAssemblerOptions {
  /** Address of the sender, for errors. */
  peer: string;
  /** Called with each frame and the length of its payload in bytes. */
  onFrame: (frame: Frame, bytes: number) => void;
}

/** Creates an assembler that holds no bytes. */
export function createFrameAssembler(
  { peer, onFrame }: FrameAssemblerOptions,
): FrameAssembler {
  /** Parts of a frame that is not complete. They are joined once. */
  let parts: Buffer[] = [];
  let size = 0;
  /** Bytes with which the next frame is complete, or its length is known. */
  let needed = LENGTH_BYTES;

  function readLength(bytes: Buffer, offset: number): number {
    const length = bytes.readUInt32BE(offset);
    if (length > MAX_FRAME_BYTES) {
      throw new StepError(
        "frame.length",
        `frame of ${length} bytes exceeds the limit`,
        { peer },
      );
    }
    return length;
  }

  /** Passes on the complete frames; returns the bytes after them. */
  function parse(bytes: Buffer): Buffer {
    let offset = 0;
    needed = LENGTH_BYTES;
    while (bytes.length - offset >= LENGTH_BYTES) {
      const length = readLength(bytes, offset);
      const end = offset + LENGTH_BYTES + length;
      if (bytes.length < end) {
        needed = LENGTH_BYTES + length;
        break;
      }
      onFrame(decodeFrame(bytes.subarray(offset + LENGTH_BYTES, end)), length);
      offset = end;
    }
    return bytes.subarray(offset);
  }

  return {
    push(chunk) {
      parts.push(chunk);
      size += chunk.length;
      if (size < needed) {
        return;
      }
      const rest = parse(parts.length === 1 ? chunk : Buffer.concat(parts));
      parts = rest.length === 0 ? [] : [rest];
      size = rest.length;
    },
  };
}
