/**
 * Conversion of the raw headers of Node's HTTP messages.
 * @module
 */
import type { HeaderList } from "../core/headers.ts";

/** Returns a message's raw headers as a list, with names in lower case. */
export function parseRawHeaders(rawHeaders: readonly string[]): HeaderList {
  const headers: HeaderList = [];
  for (let index = 0; index < rawHeaders.length; index += 2) {
    headers.push([rawHeaders[index].toLowerCase(), rawHeaders[index + 1]]);
  }
  return headers;
}
