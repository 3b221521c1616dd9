/**
 * Random samples of a service's servers, so that a choice costs the same at any
 * number of them.
 * @module
 */
import type { Random } from "../core/random.ts";

/** Largest number of servers that are compared for one choice. */
export const MAX_COMPARED = 16;

/** Returns all entries, or `MAX_COMPARED` different random ones of more. */
export function sample<T>(entries: readonly T[], random: Random): readonly T[] {
  if (entries.length <= MAX_COMPARED) {
    return entries;
  }
  const chosen = new Set<number>();
  while (chosen.size < MAX_COMPARED) {
    chosen.add(random.integer(entries.length));
  }
  return [...chosen].map((index) => entries[index]);
}
