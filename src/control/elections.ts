/**
 * Stands for election when the leader has been silent, or has handed over.
 * @module
 */
import type { Random } from "../core/random.ts";
import { sleep } from "../time/timer.ts";
import { collectVotes } from "./election.ts";
import { adoptLater, hearsLeader, type ReplicaParts } from "./replica_parts.ts";

/** Longest wait for a leader after entering, in election timeouts. */
const ENTERING_WAIT = 0.3;
/** Shortest pause between two looks at the leader's silence, in ms. */
const ELECTION_CHECK_MS = 20;

/** Options of {@link createElections}. */
export interface ElectionsOptions {
  parts: ReplicaParts;
  random: Random;
  /** Aborted when the replica stops. */
  signal: AbortSignal;
  /** An election was won. */
  onWon: (term: number) => void;
}

/** Stands for election. */
export interface Elections {
  /**
   * Asks for votes and leads if a quorum grants them. A newer term, a leader
   * that is heard or a change of role ends it; voters are not told, and a vote
   * that was given stays given for its term.
   */
  campaign(kind: { handover: boolean }): Promise<void>;
  /** The replica takes part from now on; peers may have vouched for it. */
  entered(kind: { vouched: boolean }): void;
  /** Stands for election whenever the leader is silent; ends with the replica. */
  run(): Promise<void>;
}

/** Creates the elections of a replica. */
export function createElections(options: ElectionsOptions): Elections {
  const { parts, random, signal } = options;
  const { local, ballot, contact, serial, rpc, timer, tuning } = parts;
  /** Time from which silence counts, where no leader was heard later. */
  let countsFrom = timer.now();
  let justEntered = false;

  /** Asks for votes, and takes over a newer term that a voter tells of. */
  async function ask(
    term: number,
    kind: { pre: boolean; handover: boolean },
  ): Promise<boolean> {
    const { won, newestTerm } = await collectVotes(
      { term, candidate: local.info.identity, ...kind },
      { log: local.openLog(), rpc, timeoutMs: tuning.callMs },
    );
    if (newestTerm > ballot.term) {
      adoptLater(parts, newestTerm);
    }
    return won;
  }

  async function campaign({ handover }: { handover: boolean }): Promise<void> {
    const term = ballot.term + 1;
    if (!handover) {
      const welcome = await ask(term, { pre: true, handover });
      if (!welcome || hearsLeader(parts) || ballot.term !== term - 1) {
        return;
      }
    }
    const stands = await serial.run(async () => {
      if (ballot.term !== term - 1 || local.role !== "follower") {
        return false;
      }
      await ballot.save({ term, votedFor: local.info.identity });
      return true;
    });
    if (!stands) {
      return;
    }
    const won = await ask(term, { pre: false, handover });
    await serial.run(() => {
      if (won && ballot.term === term && local.role === "follower") {
        options.onWon(term);
      }
      return Promise.resolve();
    });
  }

  /**
   * Election timeouts to wait for a leader. A replica that has just entered
   * waits less: if there is a leader, its followers deny the first question,
   * and after a power loss there is none.
   */
  function timeouts(): number {
    return justEntered
      ? ENTERING_WAIT * random.fraction()
      : 1 + random.fraction();
  }

  function silentSince(): number {
    return Math.max(contact.heardAt, countsFrom);
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const waitMs = tuning.electionMs * timeouts();
      const remaining = silentSince() + waitMs - timer.now();
      await sleep(timer, Math.max(remaining, ELECTION_CHECK_MS), { signal });
      const silent = timer.now() - silentSince() >= waitMs;
      if (local.role === "follower" && local.isVoter() && silent) {
        justEntered = false;
        await campaign({ handover: false });
        countsFrom = timer.now();
      }
    }
  }

  return {
    campaign,
    run,
    entered({ vouched }) {
      justEntered = vouched;
      countsFrom = timer.now();
    },
  };
}
