/**
 * Hashes of values that processes compare: SHA-1 from Node.js, and FNV-1a.
 * Unlike xxHash, they need no WebAssembly module.
 * @module
 */
import { hash } from "node:crypto";

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the SHA-1 digest of the content, in hexadecimal digits. */
export function computeDigest(content: string | Uint8Array): string {
  return hash("sha1", content, "hex");
}

/**
 * Returns a 32-bit hash that distributes texts evenly: FNV-1a over the UTF-16
 * code units, with the high bits mixed into the low ones.
 */
export function fnvHash(text: string): number {
  let value = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME);
  }
  // The low bits alone depend too much on the last characters.
  return (value ^ (value >>> 15)) >>> 0;
}
