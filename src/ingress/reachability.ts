/**
 * Whether a process listens at the address of a peer. One that is held up
 * still does: its kernel takes connections.
 * @module
 */
import type { PeerPool } from "./peer_pool.ts";

/** Finds out whether peers can be reached. */
export interface Reachability {
  /** Whether a new connection to an address comes about. Never rejects. */
  check(address: string): Promise<boolean>;
}

/** Creates checks; those of one address that overlap share a connection. */
export function createReachability(pool: PeerPool): Reachability {
  const checks = new Map<string, Promise<boolean>>();

  async function connects(address: string): Promise<boolean> {
    try {
      pool.giveBack(await pool.connect(address));
      return true;
    } catch {
      return false;
    } finally {
      checks.delete(address);
    }
  }

  return {
    check(address) {
      const check = checks.get(address) ?? connects(address);
      checks.set(address, check);
      return check;
    },
  };
}
