/**
 * Fingerprints of requests: equal for a resend, different otherwise.
 * @module
 */
import { digestOf } from "./digest.ts";

/** What makes a request another. */
export interface RequestContent {
  method: string;
  path: string;
  /** Its whole body; empty where it has none, or comes in parts. */
  body: Uint8Array;
}

/** Returns the fingerprint of a request's method, path and whole body. */
export function fingerprintOf({ method, path, body }: RequestContent): string {
  const line = digestOf(`${method} ${path}`);
  return body.length === 0 ? line : `${line}${digestOf(body)}`;
}
