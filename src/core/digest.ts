/**
 * Digests by the runtime's own code, for what processes compare and never store.
 * @module
 */
import { hash } from "node:crypto";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns a digest that differs for different content, in hexadecimal digits. */
export function digestOf(content: string | Uint8Array): string {
  return hash("sha1", content, "hex");
}

/** Returns a number that spreads texts evenly; it may be equal for some. */
export function spreadOf(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  // The low bits alone follow the last characters too closely.
  return (value ^ (value >>> 15)) >>> 0;
}
