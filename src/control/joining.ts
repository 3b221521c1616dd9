/**
 * Asks peers to add this replica as a learner, while it is not a member.
 * @module
 */
import { sleep } from "../time/timer.ts";
import type { KnownPeers } from "./known_peers.ts";
import { isMember } from "./membership_changes.ts";
import { joinMethod } from "./methods.ts";
import type { ReplicaContext } from "./replica_context.ts";

/** Options of {@link askToJoin}. */
export interface AskToJoinOptions {
  context: ReplicaContext;
  peers: KnownPeers;
  /** Aborted when the replica stops; peers are not notified of the stop. */
  signal: AbortSignal;
}

/**
 * Asks one peer each election timeout, in rotation; the rotation includes the
 * known leader.
 */
export async function askToJoin(options: AskToJoinOptions): Promise<void> {
  const { context, peers, signal } = options;
  const { local, contact, rpc, timer, tuning } = context;
  let callCount = 0;
  while (!signal.aborted) {
    await sleep(timer, tuning.electionMs, { signal });
    const { identity, address } = local.info;
    if (
      local.role !== "learner" ||
      isMember(local.openLog().membership, identity)
    ) {
      continue;
    }
    const addresses = [
      ...(contact.leader ? [contact.address] : []),
      ...peers.addresses(),
    ].filter((peer) => peer !== address);
    if (addresses.length === 0) {
      continue;
    }
    await rpc.call({
      peer: addresses[callCount++ % addresses.length],
      method: joinMethod,
      request: local.info,
      timeoutMs: tuning.callMs,
    });
  }
}
