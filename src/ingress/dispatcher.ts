/**
 * Dispatches requests that have no idempotency key.
 * @module
 */
import type { Reply } from "./call.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Dispatches requests that have no idempotency key. */
export interface Dispatcher {
  run(routed: RoutedCall): Promise<Reply>;
}
