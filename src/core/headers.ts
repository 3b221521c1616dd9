/**
 * HTTP headers as ordered lists, and the names of the product's own headers.
 * @module
 */

/** Header names and values, in order; names are in lower case. */
export type HeaderList = [string, string][];

/** Identifies a request in logs and stored events. */
export const REQUEST_ID_HEADER = "mustardcross-request-id";
/** Outcome of the request on every response: `ran`, `not_run` or `unknown`. */
export const OUTCOME_HEADER = "mustardcross-outcome";
/** Reason why a response does not come from a backend server. */
export const REASON_HEADER = "mustardcross-reason";
/** Number of attempts made. */
export const ATTEMPTS_HEADER = "mustardcross-attempts";
/** Backend server that sent the response. */
export const SERVER_HEADER = "mustardcross-server";
/** Time left for the request, in milliseconds. */
export const TIMEOUT_HEADER = "mustardcross-timeout-ms";
/** Workspace of a request, as a key has proved it; for backend servers. */
export const WORKSPACE_HEADER = "mustardcross-workspace";
/** Idempotency key of a request that must run at most once. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
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

/**
 * Returns the characters of a header that stand for the UTF-8 bytes of a text: a
 * header holds one byte in each.
 */
export function encodeHeaderValue(text: string): string {
  return Buffer.from(text, "utf8").toString("latin1");
}

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

/** Returns the names of the headers that a `connection` header lists. */
function parseConnectionHeader(connection: string): ReadonlySet<string> {
  return new Set(
    connection.split(",").map((name) => name.trim().toLowerCase()),
  );
}

const NO_NAMES: ReadonlySet<string> = new Set();

/** Removes hop-by-hop headers and those that the `connection` header lists. */
export function removeHopByHopHeaders(headers: HeaderList): HeaderList {
  const connection = headerValue(headers, "connection");
  const listed = connection === undefined
    ? NO_NAMES
    : parseConnectionHeader(connection);
  const kept: HeaderList = [];
  for (const header of headers) {
    if (!HOP_BY_HOP_HEADERS.has(header[0]) && !listed.has(header[0])) {
      kept.push(header);
    }
  }
  return kept;
}
