/**
 * Determines the identity under which a replica enters its cluster. It enters
 * as a founder, as a member whose disk its peers have confirmed, or as a
 * learner with a new identity after its disk was lost or rolled back.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { LogStore, Membership, Recovered } from "./log_store.ts";
import { helloMethod } from "./methods.ts";

/**
 * Timeout of the first question to a peer, in milliseconds; it doubles with each
 * further one, up to that of a call. A machine that has no power when it is
 * called loses the connection's first packet, which is sent again a second
 * later; a new connection finds the machine sooner. A slow one needs the time.
 */
const FIRST_HELLO_TIMEOUT_MS = 200;
/** Pause before peers are called again, in milliseconds. */
const RETRY_PAUSE_MS = 50;
/**
 * Time to wait for further replies once enough peers have replied, in
 * milliseconds.
 */
const LATE_REPLY_WAIT_MS = 30;

/** Options of {@link resolveIdentity}. */
export interface IdentityOptions {
  vm: string;
  address: string;
  founders: Record<string, string>;
  /** Whether a replica with an empty disk may form a new cluster. */
  mayFound: boolean;
  /** Called with a membership that a peer reports, to remember its addresses. */
  onMembers: (members: Membership) => void;
  recovered: Recovered;
  store: LogStore;
  rpc: Rpc;
  timer: Timer;
  random: Random;
  logger: Logger;
  signal: AbortSignal;
  callMs: number;
}

/**
 * Identity of the replica, and how it was determined. For `reset` and
 * `founder`, the contents of the disk have changed.
 */
export type ResolvedIdentity =
  | { kind: "confirmed"; identity: string }
  | { kind: "founder"; identity: string }
  | { kind: "reset"; identity: string }
  | { kind: "stopped" };

interface HelloReply {
  formed: boolean;
  rolledBack: boolean;
}

function founderIdentity(vm: string): string {
  return `${vm}#founder`;
}

function newestMembership(recovered: Recovered): Membership | undefined {
  return recovered.entries.findLast((entry) => entry.membership)?.membership ??
    recovered.snapshot?.membership;
}

/**
 * Determines the identity; resolves once the replica may take part. It calls
 * peers until enough of them have replied. If the replica stops first, it
 * resolves as `stopped`; peers are not notified.
 */
export async function resolveIdentity(
  options: IdentityOptions,
): Promise<ResolvedIdentity> {
  const { vm, address, founders, recovered, store, random, logger } = options;
  const { rpc, timer, signal, callMs } = options;
  const clusterName = Object.keys(founders).sort().join(",");

  /** Name under which the settings list this replica as a founder. */
  function founderName(): string | undefined {
    return Object.keys(founders).find((name) => founders[name] === address);
  }

  async function callPeer(
    peer: string,
    timeoutMs = callMs,
  ): Promise<HelloReply | undefined> {
    const last = recovered.entries.at(-1)?.index ??
      recovered.snapshot?.index ?? 0;
    const reply = await rpc.call({
      peer,
      method: helloMethod,
      request: {
        identity: recovered.identity?.identity ?? "",
        lastIndex: last,
        term: recovered.vote.term,
      },
      timeoutMs,
    });
    if (reply.isErr()) {
      return undefined;
    }
    const { formed, rolledBack, members } = reply.value;
    options.onMembers(members);
    return formed === undefined ? undefined : { formed, rolledBack };
  }

  /**
   * Calls peers once, and resolves with the replies of those that answer. One
   * that knows a cluster suffices: peers that are gone are not waited for then.
   */
  function callPeers(peers: string[]): Promise<HelloReply[]> {
    const replies: HelloReply[] = [];
    return new Promise((resolve) => {
      async function call(peer: string): Promise<void> {
        const reply = await callPeer(peer);
        if (reply) {
          replies.push(reply);
        }
        if (reply?.formed) {
          resolve(replies);
        }
      }
      void Promise.all(peers.map(call)).then(() => resolve(replies));
    });
  }

  /**
   * Calls each peer until it replies; a peer that does not answer delays no
   * other. Resolves a short time after `needed` have replied, or with fewer if
   * the replica stops.
   */
  function collectReplies(
    peers: string[],
    needed: number,
  ): Promise<HelloReply[]> {
    const replies: HelloReply[] = [];
    return new Promise((resolve) => {
      let ended = false;
      function end(): void {
        ended = true;
        resolve(replies);
      }
      async function callUntilReply(peer: string): Promise<void> {
        let timeoutMs = FIRST_HELLO_TIMEOUT_MS;
        while (!ended && !signal.aborted) {
          const reply = await callPeer(peer, Math.min(timeoutMs, callMs));
          timeoutMs *= 2;
          if (reply) {
            replies.push(reply);
            break;
          }
          await sleep(timer, RETRY_PAUSE_MS, { signal });
        }
        if (signal.aborted || replies.length === peers.length) {
          end();
        } else if (replies.length === needed) {
          timer.after(LATE_REPLY_WAIT_MS, end);
        }
      }
      peers.forEach((peer) => void callUntilReply(peer));
    });
  }

  async function becomeLearner(cause: string): Promise<ResolvedIdentity> {
    const identity = `${vm}#${random.identifier()}`;
    logger.warn("replica.new_identity", { identity, cause });
    await store.reset();
    await store.saveIdentity({ identity, cluster: clusterName });
    return { kind: "reset", identity };
  }

  async function foundCluster(): Promise<ResolvedIdentity> {
    const identity = founderIdentity(founderName() ?? vm);
    const voters = Object.entries(founders).map(([name, peer]) => ({
      identity: founderIdentity(name),
      vm: name,
      address: peer,
    }));
    await store.reset();
    await store.append([{
      index: 1,
      term: 0,
      logTime: 0,
      membership: { voters, learners: [] },
    }]);
    await store.saveIdentity({ identity, cluster: clusterName });
    return { kind: "founder", identity };
  }

  /**
   * Used if the disk holds no identity: forms a cluster, or enters an existing
   * one as a learner.
   */
  async function resolveWithoutIdentity(): Promise<ResolvedIdentity> {
    const others = Object.values(founders).filter((peer) => peer !== address);
    while (!signal.aborted) {
      const replies = await callPeers(others);
      if (replies.some((reply) => reply.formed)) {
        return await becomeLearner("no identity on disk");
      }
      const canFound = options.mayFound && founderName() !== undefined;
      if (canFound && replies.length === others.length) {
        return await foundCluster();
      }
      await sleep(timer, RETRY_PAUSE_MS, { signal });
    }
    return { kind: "stopped" };
  }

  /**
   * Used if the disk holds an identity: asks peers whether they know of newer
   * durable state than this disk holds.
   */
  async function confirmIdentity(identity: string): Promise<ResolvedIdentity> {
    const membership = newestMembership(recovered);
    const voters = membership?.voters ?? [];
    const known = [...voters.map((voter) => voter.address)];
    const others = new Set([...known, ...Object.values(founders)]);
    others.delete(address);
    const needed = Math.min(
      others.size,
      Math.max(1, Math.floor(voters.length / 2)),
    );
    if (needed === 0) {
      return { kind: "confirmed", identity };
    }
    const replies = await collectReplies([...others], needed);
    if (replies.some((reply) => reply.rolledBack)) {
      return await becomeLearner("the disk was rolled back");
    }
    return signal.aborted
      ? { kind: "stopped" }
      : { kind: "confirmed", identity };
  }

  const identity = recovered.identity?.identity;
  return identity
    ? await confirmIdentity(identity)
    : await resolveWithoutIdentity();
}
