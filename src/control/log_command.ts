/**
 * Commands as the log holds them. A command is encoded once, by the leader that
 * appends it; replication and the disk copy its bytes.
 * @module
 */
import { Packr } from "msgpackr";

const packr = new Packr({ useRecords: false });

/** Encodes a command for the log. */
export function encodeCommand(command: unknown): Uint8Array {
  return packr.pack(command);
}

/**
 * Decodes a command of the log. Entries that an earlier version appended hold
 * the command itself.
 */
export function decodeCommand(stored: unknown): unknown {
  return stored instanceof Uint8Array ? packr.unpack(stored) : stored;
}
