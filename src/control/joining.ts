/**
 * Asks to be taken in as a learner, as long as no membership holds the replica.
 * @module
 */
import { sleep } from "../time/timer.ts";
import type { KnownPeers } from "./known_peers.ts";
import { isMember } from "./membership_changes.ts";
import { joinMethod } from "./methods.ts";
import type { ReplicaParts } from "./replica_parts.ts";

/** Options of {@link askToJoin}. */
export interface JoiningOptions {
  parts: ReplicaParts;
  peers: KnownPeers;
  /** Aborted when the replica stops; peers are not told. */
  signal: AbortSignal;
}

/** Asks peers in turn, the leader among them, once each election timeout. */
export async function askToJoin(options: JoiningOptions): Promise<void> {
  const { parts, peers, signal } = options;
  const { local, contact, rpc, timer, tuning } = parts;
  let turn = 0;
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
    ].filter((candidate) => candidate !== address);
    if (addresses.length === 0) {
      continue;
    }
    await rpc.call({
      peer: addresses[turn++ % addresses.length],
      method: joinMethod,
      request: local.info,
      timeoutMs: tuning.callMs,
    });
  }
}
