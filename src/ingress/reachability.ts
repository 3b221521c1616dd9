/**
 * Checks whether a process listens at the address of a peer. The kernel accepts
 * connections also for a stalled process. A refused connection proves that no
 * process listens; a connection attempt that times out is repeated once.
 * @module
 */
import { TimeoutError } from "../core/errors.ts";
import type { PeerPool } from "./peer_pool.ts";

/** Checks whether peers can be reached. */
export interface Reachability {
  /** Resolves with whether a new connection can be opened. Never rejects. */
  check(address: string): Promise<boolean>;
}

/** Creates a checker; overlapping checks of one address share a connection. */
export function createReachability(pool: PeerPool): Reachability {
  const checks = new Map<string, Promise<boolean>>();

  async function tryConnect(
    address: string,
  ): Promise<"connected" | "refused" | "timeout"> {
    try {
      pool.release(await pool.connect(address));
      return "connected";
    } catch (error) {
      return error instanceof TimeoutError ? "timeout" : "refused";
    }
  }

  async function connectWithRetry(address: string): Promise<boolean> {
    const first = await tryConnect(address);
    // A packet may be lost, or the accept queue of a stalled process be full.
    const result = first === "timeout" ? await tryConnect(address) : first;
    checks.delete(address);
    return result === "connected";
  }

  return {
    check(address) {
      const check = checks.get(address) ?? connectWithRetry(address);
      checks.set(address, check);
      return check;
    },
  };
}
