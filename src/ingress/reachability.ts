/**
 * Whether a process listens at the address of a peer. One that is held up
 * still does: its kernel takes connections. A refusal is proof that none does;
 * a connection that does not come about is tried once more.
 * @module
 */
import { TimeoutError } from "../core/errors.ts";
import type { PeerPool } from "./peer_pool.ts";

/** Finds out whether peers can be reached. */
export interface Reachability {
  /** Whether a new connection to an address comes about. Never rejects. */
  check(address: string): Promise<boolean>;
}

/** Creates checks; those of one address that overlap share a connection. */
export function createReachability(pool: PeerPool): Reachability {
  const checks = new Map<string, Promise<boolean>>();

  async function tryOnce(
    address: string,
  ): Promise<"connected" | "refused" | "timeout"> {
    try {
      pool.giveBack(await pool.connect(address));
      return "connected";
    } catch (error) {
      return error instanceof TimeoutError ? "timeout" : "refused";
    }
  }

  async function connects(address: string): Promise<boolean> {
    const first = await tryOnce(address);
    // One packet may be lost, or the queue of a process that is late be full.
    const result = first === "timeout" ? await tryOnce(address) : first;
    checks.delete(address);
    return result === "connected";
  }

  return {
    check(address) {
      const check = checks.get(address) ?? connects(address);
      checks.set(address, check);
      return check;
    },
  };
}
