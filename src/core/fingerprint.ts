/**
 * Fingerprints of requests: a resent request has the same fingerprint, and a
 * different request has a different one.
 * @module
 */
import { computeDigest } from "./digest.ts";

/** The content by which requests are distinguished. */
export interface RequestContent {
  method: string;
  path: string;
  /** The whole body; empty if there is none or if the body is streamed. */
  body: Uint8Array;
}

/** Returns the fingerprint of a request's method, path and whole body. */
export function computeFingerprint(
  { method, path, body }: RequestContent,
): string {
  const prefix = computeDigest(`${method} ${path}`);
  return body.length === 0 ? prefix : `${prefix}${computeDigest(body)}`;
}
