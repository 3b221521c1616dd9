/**
 * RPC addresses of all replicas that this one knows of.
 * @module
 */
import type { Membership } from "./log_store.ts";
import { membersOf } from "./membership_changes.ts";

/** RPC addresses of all replicas that are known. */
export interface KnownPeers {
  /** A peer told who takes part. */
  met(members: Membership): void;
  /** Addresses of the members, of those met on entering and the founders. */
  addresses(): string[];
}

/** Options of {@link createKnownPeers}. */
export interface KnownPeersOptions {
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Newest membership of the own log. */
  membership: () => Membership;
}

/** Creates the peers that are known before any was met. */
export function createKnownPeers(options: KnownPeersOptions): KnownPeers {
  const { founders } = options;
  const met = new Set<string>();

  return {
    met: (members) =>
      membersOf(members).forEach((member) => met.add(member.address)),
    addresses: () => [
      ...new Set([
        ...membersOf(options.membership()).map((member) => member.address),
        ...met,
        ...Object.values(founders),
      ]),
    ],
  };
}
