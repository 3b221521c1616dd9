/**
 * Parses JSON that other parties have written. The runtime's parser does not call
 * itself for each level of nesting, but code that formats or compares a value
 * does, so the nesting has a limit.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { errorMessage } from "./errors.ts";

/** Deepest nesting of arrays and objects that is accepted. */
export const MAX_JSON_DEPTH = 64;

/** Whether arrays and objects are nested more deeply than the limit. */
function isTooDeep(value: unknown): boolean {
  let level = [value];
  for (let depth = 0; depth <= MAX_JSON_DEPTH; depth++) {
    const containers = level.filter((one) =>
      typeof one === "object" && one !== null
    );
    if (containers.length === 0) {
      return false;
    }
    level = containers.flatMap((one) => Object.values(one as object));
  }
  return true;
}

/**
 * Removes the part of the text that the runtime quotes in an error, since the text
 * may hold keys and errors are logged.
 */
function withoutExcerpt(message: string): string {
  return message.replace(/, (\.\.\.)?".*is not valid JSON$/s, " in JSON");
}

/** Parses a text; the error says why it is not accepted. */
export function parseJson(text: string): Result<unknown, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return err(withoutExcerpt(errorMessage(error)));
  }
  return isTooDeep(value)
    ? err(`nested more than ${MAX_JSON_DEPTH} levels deep`)
    : ok(value);
}
