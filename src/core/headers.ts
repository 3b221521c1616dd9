/**
 * HTTP headers as ordered lists, and the names that the product gives meaning.
 * @module
 */

/** Header names and values, in order; names are in lower case. */
export type HeaderList = [string, string][];

/** Identifies a request in logs and accounts. */
export const REQUEST_ID_HEADER = "mustardcross-request-id";
/** Says `ran`, `not_run` or `unknown` on every answer. */
export const OUTCOME_HEADER = "mustardcross-outcome";
/** Says why a request has no answer of a backend server. */
export const REASON_HEADER = "mustardcross-reason";
/** Number of attempts made. */
export const ATTEMPTS_HEADER = "mustardcross-attempts";
/** Backend server that answered. */
export const SERVER_HEADER = "mustardcross-server";
/** Time left for the request, in milliseconds. */
export const TIMEOUT_HEADER = "mustardcross-timeout-ms";
/** Names a request that must run at most once. */
export const KEY_HEADER = "idempotency-key";

/** Headers that concern one connection only. */
const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

/** Returns the first value of a header. */
export function headerValue(
  headers: HeaderList,
  name: string,
): string | undefined {
  for (const header of headers) {
    if (header[0] === name) {
      return header[1];
    }
  }
  return undefined;
}

/** Names of headers that a `connection` header keeps to its connection. */
function namedIn(connection: string): readonly string[] {
  return connection.split(",").map((name) => name.trim().toLowerCase());
}

const NONE: readonly string[] = [];

/** Drops headers that concern one connection, also those it names itself. */
export function endToEnd(headers: HeaderList): HeaderList {
  const connection = headerValue(headers, "connection");
  const named = connection === undefined ? NONE : namedIn(connection);
  const kept: HeaderList = [];
  for (const header of headers) {
    if (!HOP_HEADERS.has(header[0]) && !named.includes(header[0])) {
      kept.push(header);
    }
  }
  return kept;
}
