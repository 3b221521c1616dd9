/**
 * xxHash digests, with which control verifies and compares stored data. Nodes
 * do not use them, because each process has to compile the WebAssembly module.
 * @module
 */
import xxhash, { type XXHashAPI } from "xxhash-wasm";

let api: XXHashAPI | undefined;

/** Loads xxHash; it must resolve before the first hash is computed. */
export async function prepareHashes(): Promise<void> {
  api ??= await xxhash();
}

function requireApi(): XXHashAPI {
  if (!api) {
    throw new Error("prepareHashes() has not resolved before the first hash");
  }
  return api;
}

/** Returns the 32-bit hash of bytes. */
export function hash32(bytes: Uint8Array): number {
  return requireApi().h32Raw(bytes);
}

/** Returns the 64-bit hash of a text, in hexadecimal digits. */
export function hashText(text: string): string {
  return requireApi().h64ToString(text);
}
