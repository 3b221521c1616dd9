/**
 * Fingerprints of requests: equal for a resend, different otherwise.
 * @module
 */
import { hash64, hashText } from "../core/hash.ts";
import type { Call } from "./call.ts";

/** Returns the fingerprint of a request's method, path and whole body. */
export function fingerprintOf(call: Call): string {
  const line = hashText(`${call.method} ${call.path}`);
  if (!(call.body instanceof Uint8Array) || call.body.length === 0) {
    return line;
  }
  return `${line}${hash64(call.body)}`;
}
