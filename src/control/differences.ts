/**
 * Differences between two configurations, key by key.
 * @module
 */
import type { Difference } from "./commands.ts";

const MAX_DIFFERENCES = 200;

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/**
 * Returns the values that differ, each with its dotted key; at most
 * `MAX_DIFFERENCES`.
 */
export function findDifferences(
  before: unknown,
  after: unknown,
): Difference[] {
  const result: Difference[] = [];

  function compare(oldValue: unknown, newValue: unknown, key: string): void {
    if (oldValue === newValue) {
      return;
    }
    if (isRecord(oldValue) && isRecord(newValue)) {
      const names = new Set([
        ...Object.keys(oldValue),
        ...Object.keys(newValue),
      ]);
      for (const name of names) {
        compare(oldValue[name], newValue[name], key ? `${key}.${name}` : name);
      }
      return;
    }
    if (JSON.stringify(oldValue) !== JSON.stringify(newValue)) {
      result.push({ key, before: oldValue ?? null, after: newValue ?? null });
    }
  }

  compare(before, after, "");
  return result.slice(0, MAX_DIFFERENCES);
}
