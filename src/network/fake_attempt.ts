/**
 * An attempt frame for tests that send frames directly.
 * @module
 */
import type { Attempt } from "./frames.ts";

/** Returns the attempt of a small GET request with the given overrides. */
export function createFakeAttempt(overrides: Partial<Attempt> = {}): Attempt {
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
    ...overrides,
  };
}
