/**
 * Starts an election when the leader has been silent for an election timeout,
 * or when it hands over its leadership.
 * @module
 */
import type { Random } from "../core/random.ts";
import { sleep } from "../time/timer.ts";
import { collectVotes } from "./vote_collection.ts";
import {
  adoptTermLater,
  hasLiveLeader,
  type ReplicaContext,
} from "./replica_context.ts";

/** Longest wait for a leader after a restart, in election timeouts. */
const STARTUP_TIMEOUT_FACTOR = 0.3;
/**
 * Timeout of a pre-vote after a restart, in milliseconds. Replicas that have not
 * started yet do not answer, and soon start.
 */
const STARTUP_PRE_VOTE_TIMEOUT_MS = 250;
/** Pre-votes after a restart that may fail before the full timeout applies. */
const MAX_STARTUP_ROUNDS = 8;
/**
 * Shortest interval between two checks of the time since the last contact with
 * a leader, in milliseconds.
 */
const ELECTION_CHECK_MS = 20;

/** Options of {@link createElections}. */
export interface ElectionsOptions {
  context: ReplicaContext;
  random: Random;
  /** Aborted when the replica stops. */
  signal: AbortSignal;
  /** Called when an election was won, to start leading in that term. */
  onWon: (term: number) => void;
}

/** Runs elections for one replica. */
export interface Elections {
  /**
   * Requests votes and leads if a quorum grants them. A newer term, contact
   * with a live leader or a change of role ends the election. Voters are not
   * notified of its end, and a vote that was granted remains valid for its term.
   */
  campaign(kind: { handover: boolean }): Promise<void>;
  /**
   * Restarts the election timer. Called when the replica begins to take part in
   * the cluster; `confirmed` states that peers confirmed its disk, and makes
   * the first election timeouts shorter.
   */
  resetTimer(kind: { confirmed: boolean }): void;
  /**
   * Starts an election whenever no leader was in contact for an election
   * timeout. Ends when the replica stops.
   */
  run(): Promise<void>;
}

/** Creates the elections of one replica; `run` starts the election timer. */
export function createElections(options: ElectionsOptions): Elections {
  const { context, random, signal } = options;
  const { local, termState, contact, preVotes, serial } = context;
  const { rpc, timer, tuning } = context;
  /** Start of the election timeout, unless a leader was in contact later. */
  let timerStartedAt = timer.now();
  /** Remaining elections that may begin after a shorter timeout. */
  let startupRounds = 0;

  /** Requests votes, and adopts a newer term if a voter reports one. */
  async function requestVotes(
    term: number,
    kind: { pre: boolean; handover: boolean },
  ): Promise<boolean> {
    const { won, newestTerm } = await collectVotes(
      { term, candidate: local.info.identity, ...kind },
      { log: local.openLog(), rpc, timeoutMs: voteTimeoutMs(kind) },
    );
    if (newestTerm > termState.term) {
      adoptTermLater(context, newestTerm);
    }
    return won;
  }

  /** Whether this replica has restarted and has not known a leader since. */
  function isStartingUp(): boolean {
    return startupRounds > 0 && !contact.leader;
  }

  function voteTimeoutMs({ pre }: { pre: boolean }): number {
    return pre && isStartingUp()
      ? Math.min(STARTUP_PRE_VOTE_TIMEOUT_MS, tuning.callMs)
      : tuning.callMs;
  }

  /** Asks for pre-votes, unless this replica promised its vote to another. */
  async function winsPreVote(term: number): Promise<boolean> {
    const { identity } = local.info;
    if (!preVotes.promise(identity)) {
      return false;
    }
    const granted = await requestVotes(term, { pre: true, handover: false });
    if (!granted) {
      preVotes.release(identity);
    }
    return granted;
  }

  async function campaign({ handover }: { handover: boolean }): Promise<void> {
    const term = termState.term + 1;
    if (!handover) {
      const preVoteGranted = await winsPreVote(term);
      if (
        !preVoteGranted || hasLiveLeader(context) || termState.term !== term - 1
      ) {
        return;
      }
    }
    const isCandidate = await serial.run(async () => {
      if (termState.term !== term - 1 || local.role !== "follower") {
        return false;
      }
      await termState.save({ term, votedFor: local.info.identity });
      return true;
    });
    if (!isCandidate) {
      return;
    }
    const won = await requestVotes(term, { pre: false, handover });
    await serial.run(() => {
      if (won && termState.term === term && local.role === "follower") {
        options.onWon(term);
      }
      return Promise.resolve();
    });
  }

  /**
   * Length of the next wait for a leader, in election timeouts. The first waits
   * after a restart are shorter: if there is a leader, its followers deny the
   * pre-vote, and after a power loss there is none, and a pre-vote that came too
   * early for the others is to be repeated soon.
   */
  function timeoutFactor(): number {
    return isStartingUp()
      ? STARTUP_TIMEOUT_FACTOR * random.fraction()
      : 1 + random.fraction();
  }

  function silenceStartedAt(): number {
    return Math.max(contact.lastContactAt, timerStartedAt);
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const waitMs = tuning.electionMs * timeoutFactor();
      const remaining = silenceStartedAt() + waitMs - timer.now();
      await sleep(timer, Math.max(remaining, ELECTION_CHECK_MS), { signal });
      const silent = timer.now() - silenceStartedAt() >= waitMs;
      if (local.role === "follower" && local.isVoter() && silent) {
        await campaign({ handover: false });
        startupRounds = Math.max(0, startupRounds - 1);
        timerStartedAt = timer.now();
      }
    }
  }

  return {
    campaign,
    run,
    resetTimer({ confirmed }) {
      startupRounds = confirmed ? MAX_STARTUP_ROUNDS : 0;
      timerStartedAt = timer.now();
    },
  };
}
