/**
 * Errors in settings, each with file, key, found value and expected value.
 * @module
 */
import type { z } from "zod";

/** Error in a settings file. */
export interface SettingsError {
  /** File that has the error. */
  file: string;
  /** Dotted key. */
  key: string;
  /** Description of the value that was found. */
  found: string;
  /** Description of the value that was expected. */
  expected: string;
}

/** Formats an error as one line. */
export function formatSettingsError(error: SettingsError): string {
  const { file, key, found, expected } = error;
  return `${file}: ${key}: found ${found}, expected ${expected}`;
}

/** Returns the Levenshtein distance between two words. */
export function editDistance(one: string, other: string): number {
  let previous = Array.from({ length: other.length + 1 }, (_, i) => i);
  for (let row = 1; row <= one.length; row++) {
    const current = [row];
    for (let column = 1; column <= other.length; column++) {
      const substitution = one[row - 1] === other[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + substitution,
      );
    }
    previous = current;
  }
  return previous[other.length];
}

/** Returns the known key with the smallest edit distance to an unknown one. */
export function findNearestKey(
  unknown: string,
  known: readonly string[],
): string | undefined {
  let nearest: string | undefined;
  let nearestDistance = Infinity;
  for (const key of known) {
    const distance = editDistance(unknown, key);
    if (distance < nearestDistance) {
      nearest = key;
      nearestDistance = distance;
    }
  }
  return nearest;
}

/** Returns the value at a path, or `undefined` if there is none. */
export function getValueAt(
  root: unknown,
  path: readonly PropertyKey[],
): unknown {
  let value = root;
  for (const part of path) {
    if (value === null || typeof value !== "object") {
      return undefined;
    }
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}

interface Definition {
  type: string;
  innerType?: z.ZodType;
  valueType?: z.ZodType;
  element?: z.ZodType;
  shape?: Record<string, z.ZodType>;
}

function getDefinition(schema: z.ZodType): Definition {
  return schema._zod.def as unknown as Definition;
}

/** Strips defaults, prefaults and optionality from a schema. */
export function unwrap(schema: z.ZodType): z.ZodType {
  const { innerType } = getDefinition(schema);
  return innerType ? unwrap(innerType) : schema;
}

/** Lists the keys that an object schema defines at a path. */
export function listKnownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  const definition = getDefinition(unwrap(schema));
  if (path.length === 0) {
    return Object.keys(definition.shape ?? {});
  }
  const [first, ...rest] = path;
  const child = definition.shape?.[String(first)] ??
    definition.valueType ?? definition.element;
  return child ? listKnownKeys(child, rest) : [];
}

/** Describes a value; those of workspaces hold keys and are not shown. */
function describeValue(
  value: unknown,
  [part]: readonly PropertyKey[],
): string {
  if (value === undefined) {
    return "nothing";
  }
  return part === "workspaces" ? "another value" : JSON.stringify(value);
}

function describeExpectation(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `a value of type ${issue.expected}`;
    case "invalid_value":
      return `one of ${issue.values.map(String).join(", ")}`;
    case "too_small":
      return `${issue.inclusive ? "at least" : "more than"} ${issue.minimum}`;
    case "too_big":
      return `${issue.inclusive ? "at most" : "less than"} ${issue.maximum}`;
    default:
      return issue.message;
  }
}

/** Returns the file that set the value at a path. */
export type FileLookup = (path: readonly PropertyKey[]) => string;

/** Converts the issues of a failed validation into settings errors. */
export function toSettingsErrors(
  schema: z.ZodType,
  options: { value: unknown; issues: z.core.$ZodIssue[]; findFile: FileLookup },
): SettingsError[] {
  const { value, issues, findFile } = options;
  return issues.flatMap((issue): SettingsError[] => {
    if (issue.code === "unrecognized_keys") {
      const known = listKnownKeys(schema, issue.path);
      return issue.keys.map((key) => {
        const path = [...issue.path, key];
        const nearest = findNearestKey(key, known);
        return {
          file: findFile(path),
          key: path.map(String).join("."),
          found: "an unknown key",
          expected: `"${nearest}" or another known key`,
        };
      });
    }
    return [{
      file: findFile(issue.path),
      key: issue.path.map(String).join(".") || "(whole file)",
      found: describeValue(getValueAt(value, issue.path), issue.path),
      expected: describeExpectation(issue),
    }];
  });
}
