/**
 * Digests of the keys of workspaces. Nodes hold, send and compare only these, so
 * that no key is found in the memory, the messages or the logs of a node.
 * @module
 */
import { hash } from "node:crypto";

/**
 * Number of characters of a digest: SHA-256 cut to 132 bits, in base64url. Guessing
 * a key for one of 50,000 digests takes some 2^116 tries, and the view of so many
 * keys is half as long as with whole digests.
 */
const DIGEST_LENGTH = 22;
/** Number of characters of a fingerprint. */
const FINGERPRINT_LENGTH = 6;

/** Returns the digest of a key as the configuration holds it. */
export function digestKey(key: string): string {
  return hash("sha256", key, "base64url").slice(0, DIGEST_LENGTH);
}

/**
 * Returns the digest of a key as a request carries it: a header value, in which
 * each character stands for a byte. A key outside ASCII matches if the caller sends
 * it in UTF-8.
 */
export function digestHeaderValue(value: string): string {
  return hash("sha256", Buffer.from(value, "latin1"), "base64url")
    .slice(0, DIGEST_LENGTH);
}

/**
 * Returns a short name for a key that appears in the history of changes. It is too
 * short to check guesses of a random key.
 */
export function fingerprintKey(key: string): string {
  return digestKey(key).slice(0, FINGERPRINT_LENGTH);
}
