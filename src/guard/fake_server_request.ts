/**
 * A request to a backend server for tests, and the reading of its answer.
 * @module
 */
import { neverCancelled } from "../core/cancellation.ts";
import type { Backend, BackendAnswer, BackendRequest } from "./backend.ts";

/** Returns a small GET request with the given overrides. */
export function createFakeServerRequest(
  overrides: Partial<BackendRequest> = {},
): BackendRequest {
  return {
    method: "GET",
    path: "/",
    headers: [["host", "a"]],
    body: undefined,
    requestId: "one",
    caller: "",
    instance: "",
    timeLeftMs: 1_000,
    signal: neverCancelled,
    ...overrides,
  };
}

/** Reads a body in chunks, also a short one. */
export async function readChunks(
  body: BackendAnswer["body"],
): Promise<string> {
  if (body instanceof Uint8Array) {
    return Buffer.from(body).toString();
  }
  const parts: Uint8Array[] = [];
  for await (const part of body) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}

/** Sends a request and reads its answer; returns the body. */
export async function fetchBody(
  backend: Backend,
  overrides: Partial<BackendRequest> = {},
): Promise<string> {
  const { body } = await backend.send(createFakeServerRequest(overrides));
  return await readChunks(body);
}

/** Returns the step at which a promise fails, or its value. */
export function stepOr<T>(promise: Promise<T>): Promise<T | string> {
  return promise.catch((error) => error?.step ?? String(error));
}
