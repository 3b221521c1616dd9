/**
 * Hashes of xxHash, whose module loads in the background.
 * @module
 */
import xxhash, { type XXHashAPI } from "xxhash-wasm";

let api: XXHashAPI | undefined;

/** Resolves once hashes can be computed; every process awaits it at start. */
export const hashReady: Promise<void> = xxhash().then((loaded) => {
  api = loaded;
});

function loaded(): XXHashAPI {
  if (!api) {
    throw new Error("hashes are used before hashReady");
  }
  return api;
}

/** Returns the 32-bit hash of bytes. */
export function hash32(bytes: Uint8Array): number {
  return loaded().h32Raw(bytes);
}

/** Returns the 64-bit hash of bytes, in hexadecimal digits. */
export function hash64(bytes: Uint8Array): string {
  return loaded().h64Raw(bytes).toString(16).padStart(16, "0");
}

/** Returns the 64-bit hash of a text, in hexadecimal digits. */
export function hashText(text: string): string {
  return loaded().h64ToString(text);
}
