/**
 * Asks peers to add this replica as a learner, while it is not a member. A
 * member that no leader has called for long may have been removed without having
 * learned of it, and asks too.
 * @module
 */
import { sleep } from "../time/timer.ts";
import type { KnownPeers } from "./known_peers.ts";
import { isMember } from "./membership_changes.ts";
import { joinMethod } from "./methods.ts";
import type { ReplicaContext } from "./replica_context.ts";

/** Silence of the leader after which a member asks too, in election timeouts. */
const REMOVED_SILENCE_FACTOR = 10;

/** Options of {@link askToJoin}. */
export interface AskToJoinOptions {
  context: ReplicaContext;
  peers: KnownPeers;
  /** Aborted when the replica stops; peers are not notified of the stop. */
  signal: AbortSignal;
}

/**
 * Asks all peers at each election timeout, and the leader that one of them names.
 * Peers that are gone do not answer, so none is waited for.
 */
export async function askToJoin(options: AskToJoinOptions): Promise<void> {
  const { context, peers, signal } = options;
  const { local, contact, rpc, timer, tuning } = context;
  const startedAt = timer.now();

  function mayBeRemoved(): boolean {
    const heardAt = Math.max(contact.lastContactAt, startedAt);
    return timer.now() - heardAt > REMOVED_SILENCE_FACTOR * tuning.electionMs;
  }

  function mustAsk(): boolean {
    if (local.role !== "learner" && local.role !== "follower") {
      return false;
    }
    const { membership } = local.openLog();
    return !isMember(membership, local.info.identity) || mayBeRemoved();
  }

  /** Asks a peer, and then the leader that it names. */
  async function ask(peer: string, asked: Set<string>): Promise<void> {
    if (asked.has(peer)) {
      return;
    }
    asked.add(peer);
    const reply = await rpc.call({
      peer,
      method: joinMethod,
      request: local.info,
      timeoutMs: tuning.callMs,
    });
    if (reply.isOk() && !reply.value.accepted && reply.value.leader !== "") {
      await ask(reply.value.leader, asked);
    }
  }

  while (!signal.aborted) {
    if (mustAsk()) {
      const known = [
        ...(contact.leader ? [contact.address] : []),
        ...peers.addresses(),
      ];
      const asked = new Set([local.info.address]);
      known.forEach((peer) => void ask(peer, asked));
    }
    await sleep(timer, tuning.electionMs, { signal });
  }
}
