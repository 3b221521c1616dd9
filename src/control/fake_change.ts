/**
 * An operator's change for tests.
 * @module
 */
import type { Change } from "./commands.ts";

/** Returns a withdrawal of domain east, with some fields replaced. */
export function fakeChange(fields: Partial<Change> = {}): Change {
  return {
    kind: "change",
    changeId: "one",
    operator: "ann",
    force: false,
    wallTime: 0,
    action: { kind: "domain_out", domain: "east" },
    ...fields,
  };
}
