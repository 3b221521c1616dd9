/**
 * An operator's change for tests.
 * @module
 */
import type { WholeChange } from "./history.ts";

/** Returns a withdrawal of domain east, with some fields replaced. */
export function fakeChange(fields: Partial<WholeChange> = {}): WholeChange {
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
