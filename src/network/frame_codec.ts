/**
 * Frames as bytes: the length of what follows, the length of the head, the head
 * as JSON, and the bytes that the frame carries. The runtime's own code writes
 * and reads the head, so a frame costs a process few steps however young it is.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { createShapeCheck } from "./frame_shapes.ts";
import type { Frame } from "./frames.ts";

/** Bytes of a length. */
export const LENGTH_BYTES = 4;
const EMPTY = new Uint8Array();
const hasFrameShape = createShapeCheck();

/** Takes the bytes that a frame carries apart from the rest of it. */
function split(frame: Frame): { head: object; bytes: Uint8Array } {
  if (frame.kind === "attempt" || frame.kind === "answer") {
    const { body, ...head } = frame;
    return { head, bytes: body };
  }
  if (frame.kind === "data") {
    return { head: { kind: "data" }, bytes: frame.bytes };
  }
  return { head: frame, bytes: EMPTY };
}

/** Encodes a frame with its length in front. */
export function encodeFrame(frame: Frame): Buffer {
  const { head, bytes } = split(frame);
  const text = JSON.stringify(head);
  const headLength = Buffer.byteLength(text);
  const length = LENGTH_BYTES + headLength + bytes.length;
  const buffer = Buffer.allocUnsafe(LENGTH_BYTES + length);
  buffer.writeUInt32BE(length, 0);
  buffer.writeUInt32BE(headLength, LENGTH_BYTES);
  buffer.write(text, 2 * LENGTH_BYTES);
  buffer.set(bytes, 2 * LENGTH_BYTES + headLength);
  return buffer;
}

/**
 * Decodes what follows a frame's length; its bytes are a view of `payload`.
 * Throws `StepError` when it has no known shape.
 */
export function decodeFrame(payload: Buffer): Frame {
  const end = LENGTH_BYTES + payload.readUInt32BE(0);
  const head = JSON.parse(payload.toString("utf8", LENGTH_BYTES, end));
  if (head?.kind === "attempt" || head?.kind === "answer") {
    head.body = payload.subarray(end);
  } else if (head?.kind === "data") {
    head.bytes = payload.subarray(end);
  }
  if (!hasFrameShape(head)) {
    throw new StepError("frame.shape", `a frame of no known shape`);
  }
  return head;
}
