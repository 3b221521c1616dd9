/**
 * Parses JSON that other parties have written. Code that walks a value calls
 * itself for each level of nesting, so the nesting has a limit.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { errorMessage } from "./errors.ts";

/** Deepest nesting of arrays and objects that is accepted. */
export const MAX_JSON_DEPTH = 64;

const QUOTE = '"'.charCodeAt(0);
const BACKSLASH = "\\".charCodeAt(0);
const OPENING = new Set(["[", "{"].map((one) => one.charCodeAt(0)));
const CLOSING = new Set(["]", "}"].map((one) => one.charCodeAt(0)));

/** Returns the position behind the string that begins at a quote. */
function skipString(text: string, start: number): number {
  let at = start + 1;
  while (at < text.length && text.charCodeAt(at) !== QUOTE) {
    at += text.charCodeAt(at) === BACKSLASH ? 2 : 1;
  }
  return at + 1;
}

/** Whether arrays and objects are nested more deeply than the limit. */
function isTooDeep(text: string): boolean {
  let depth = 0;
  let at = 0;
  while (at < text.length) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) {
      at = skipString(text, at);
      continue;
    }
    if (OPENING.has(code)) {
      depth++;
    } else if (CLOSING.has(code)) {
      depth--;
    }
    if (depth > MAX_JSON_DEPTH) {
      return true;
    }
    at++;
  }
  return false;
}

/** Parses a text; the error says why it is not accepted. */
export function parseJson(text: string): Result<unknown, string> {
  if (isTooDeep(text)) {
    return err(`nested more than ${MAX_JSON_DEPTH} levels deep`);
  }
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err(errorMessage(error));
  }
}
