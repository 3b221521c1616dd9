/**
 * RPC addresses of all replicas that this one knows.
 * @module
 */
import type { Membership } from "./log_store.ts";
import { membersOf } from "./membership_changes.ts";

/** RPC addresses of all known replicas. */
export interface KnownPeers {
  /**
   * Called with a membership that a peer reported, to remember the addresses of
   * its replicas.
   */
  add(members: Membership): void;
  /**
   * Addresses of the members, then of replicas that peers reported, then of the
   * founders.
   */
  addresses(): string[];
}

/** Options of {@link createKnownPeers}. */
export interface KnownPeersOptions {
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Newest membership in this replica's log. */
  membership: () => Membership;
}

/** Creates a collection that knows the members and founders. */
export function createKnownPeers(options: KnownPeersOptions): KnownPeers {
  const { founders } = options;
  const addedAddresses = new Set<string>();

  return {
    add: (members) =>
      membersOf(members).forEach((member) =>
        addedAddresses.add(member.address)
      ),
    addresses: () => [
      ...new Set([
        ...membersOf(options.membership()).map((member) => member.address),
        ...addedAddresses,
        ...Object.values(founders),
      ]),
    ],
  };
}
