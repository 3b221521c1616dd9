/**
 * Hashes of xxHash, by which control checks and compares what it stores. Nodes
 * do without: the module is compiled anew in each process.
 * @module
 */
import xxhash, { type XXHashAPI } from "xxhash-wasm";

let api: XXHashAPI | undefined;

/** Resolves once hashes can be computed; what stores something awaits it. */
export async function prepareHashes(): Promise<void> {
  api ??= await xxhash();
}

function loaded(): XXHashAPI {
  if (!api) {
    throw new Error("hashes are used before they were prepared");
  }
  return api;
}

/** Returns the 32-bit hash of bytes. */
export function hash32(bytes: Uint8Array): number {
  return loaded().h32Raw(bytes);
}

/** Returns the 64-bit hash of a text, in hexadecimal digits. */
export function hashText(text: string): string {
  return loaded().h64ToString(text);
}
