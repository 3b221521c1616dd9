/**
 * Binary encoding of frames: the length of the payload, the length of the head,
 * the head as JSON, and the bytes that the frame carries. The head is encoded
 * and decoded by the runtime's built-in JSON functions, which are fast even in
 * a process that has just started and whose own code is not optimized yet.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { createFrameValidator } from "./frame_shapes.ts";
import type { Frame } from "./frames.ts";

/** Size of an encoded length. */
export const LENGTH_BYTES = 4;
const EMPTY = new Uint8Array();
const isFrame = createFrameValidator();

/** Splits a frame into its head and the bytes that it carries. */
function splitBytes(frame: Frame): { head: object; bytes: Uint8Array } {
  if (frame.kind === "attempt" || frame.kind === "answer") {
    const { body, ...head } = frame;
    return { head, bytes: body };
  }
  if (frame.kind === "data") {
    return { head: { kind: "data" }, bytes: frame.bytes };
  }
  return { head: frame, bytes: EMPTY };
}

/** Encodes a frame, including the length of its payload. */
export function encodeFrame(frame: Frame): Buffer {
  const { head, bytes } = splitBytes(frame);
  const json = JSON.stringify(head);
  const headLength = Buffer.byteLength(json);
  const length = LENGTH_BYTES + headLength + bytes.length;
  const buffer = Buffer.allocUnsafe(LENGTH_BYTES + length);
  buffer.writeUInt32BE(length, 0);
  buffer.writeUInt32BE(headLength, LENGTH_BYTES);
  buffer.write(json, 2 * LENGTH_BYTES);
  buffer.set(bytes, 2 * LENGTH_BYTES + headLength);
  return buffer;
}

/**
 * Decodes the payload of a frame; the frame's bytes are a view of `payload`.
 * Throws `StepError` if the head is not that of a valid frame.
 */
export function decodeFrame(payload: Buffer): Frame {
  const headEnd = LENGTH_BYTES + payload.readUInt32BE(0);
  const head = JSON.parse(payload.toString("utf8", LENGTH_BYTES, headEnd));
  if (head?.kind === "attempt" || head?.kind === "answer") {
    head.body = payload.subarray(headEnd);
  } else if (head?.kind === "data") {
    head.bytes = payload.subarray(headEnd);
  }
  if (!isFrame(head)) {
    throw new StepError(
      "frame.shape",
      `frame has an unknown kind or invalid fields`,
    );
  }
  return head;
}
