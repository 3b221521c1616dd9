/**
 * Reads names from the paths of requests.
 * @module
 */

/** Decodes a segment of a path; `undefined` if its encoding is malformed. */
export function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
