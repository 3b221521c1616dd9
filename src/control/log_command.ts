/**
 * Commands as the log holds them. A command is encoded once, by the leader that
 * appends it; replication and the disk copy its bytes.
 *
 * The first byte states the encoding of the rest.
 * @module
 */
import { Packr } from "msgpackr";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { StepError } from "../core/errors.ts";

const PACKED = 0;
const PACKED_AND_DEFLATED = 1;

/** Size from which a command is compressed, in bytes. */
const MIN_DEFLATED_BYTES = 16 * 1024;
/** Largest size of a decoded command, in bytes. */
const MAX_COMMAND_BYTES = 64 * 1024 * 1024;
/** Fastest level: the parts of a configuration resemble each other. */
const COMPRESSION_LEVEL = 1;

const packr = new Packr({ useRecords: false });

function prefix(encoding: number, bytes: Uint8Array): Uint8Array {
  const prefixed = new Uint8Array(1 + bytes.length);
  prefixed[0] = encoding;
  prefixed.set(bytes, 1);
  return prefixed;
}

/** Encodes a command for the log. */
export function encodeCommand(command: unknown): Uint8Array {
  const packed = packr.pack(command);
  return packed.length < MIN_DEFLATED_BYTES ? prefix(PACKED, packed) : prefix(
    PACKED_AND_DEFLATED,
    deflateRawSync(packed, { level: COMPRESSION_LEVEL }),
  );
}

/**
 * Decodes a command of the log. Entries that an earlier version appended hold
 * the command itself. Throws `StepError` if the encoding is unknown.
 */
export function decodeCommand(stored: unknown): unknown {
  if (!(stored instanceof Uint8Array)) {
    return stored;
  }
  const bytes = stored.subarray(1);
  switch (stored[0]) {
    case PACKED:
      return packr.unpack(bytes);
    case PACKED_AND_DEFLATED:
      return packr.unpack(
        inflateRawSync(bytes, { maxOutputLength: MAX_COMMAND_BYTES }),
      );
    default:
      throw new StepError("log.command", `unknown encoding ${stored[0]}`);
  }
}
