/**
 * Rules for the workspaces of a site that a schema cannot express: no two share a
 * key, and names and keys can stand in a header. Violations do not quote keys.
 * @module
 */
import type { RouteViolation } from "./route_rules.ts";
import type { Site } from "./site.ts";

/**
 * Text that a header can carry: no control characters, and no space at its ends,
 * which a receiver would drop.
 */
const HEADER_TEXT = /^[^\p{Cc}\s]([^\p{Cc}]*[^\p{Cc}\s])?$/u;

/** Longest name; it is a part of the keys of claims, whose length is limited. */
const MAX_NAME_LENGTH = 128;

/** Returns all violations of the workspace rules in a site. */
export function findWorkspaceViolations(
  { workspaces }: Pick<Site, "workspaces">,
): RouteViolation[] {
  const owners = new Map<string, string>();
  const violations: RouteViolation[] = [];
  for (const [name, { keys }] of Object.entries(workspaces)) {
    const path = `workspaces.${name}`;
    if (!HEADER_TEXT.test(name) || name.length > MAX_NAME_LENGTH) {
      violations.push({
        key: path,
        found: "a long name, or one with control characters or outer spaces",
        expected:
          `at most ${MAX_NAME_LENGTH} characters that a header can carry`,
      });
    }
    for (const [index, key] of keys.entries()) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== name) {
        violations.push({
          key: `${path}.keys.${index}`,
          found: `a key that ${owner} has too`,
          expected: "each key in one workspace",
        });
      }
      if (!HEADER_TEXT.test(key)) {
        violations.push({
          key: `${path}.keys.${index}`,
          found: "a key with control characters or outer spaces",
          expected: "a key that a header can carry",
        });
      }
      owners.set(key, name);
    }
  }
  return violations;
}
