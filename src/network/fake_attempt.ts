/**
 * An attempt for tests that send frames themselves.
 * @module
 */
import type { Attempt } from "./frames.ts";

/** Returns a small attempt to read something, changed in some of its fields. */
export function fakeAttempt(change: Partial<Attempt> = {}): Attempt {
  return {
    kind: "attempt",
    attempt: { source: "here", order: 1 },
    incarnation: "one",
    version: 1,
    from: "",
    requestId: "id-1",
    service: "work",
    caller: "",
    class: "read",
    tenant: "default",
    rank: 0,
    repeatable: true,
    timeLeftMs: 1_000,
    method: "GET",
    path: "/read/1",
    headers: [],
    suspect: false,
    elsewhere: false,
    body: new Uint8Array(),
    streaming: false,
    ...change,
  };
}
