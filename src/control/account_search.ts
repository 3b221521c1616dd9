/**
 * Search for the events and changes of an account, on all replicas that answer.
 * @module
 */
import type { z } from "zod";
import type { Archive } from "../account/archive.ts";
import type { Query } from "../account/events.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { findMethod } from "./node_methods.ts";
import type { ControlState } from "./state.ts";

/** Timeout of a call to another replica in milliseconds. */
const FIND_TIMEOUT_MS = 700;

/** Events and changes found on one replica. */
export type ReplicaFindings = z.infer<typeof findMethod.reply>;

/** Events and changes found for an account. */
export interface AccountSearchResult extends ReplicaFindings {
  /** Replicas that did not answer; the account may lack their events. */
  missing: string[];
}

/** Options of {@link createAccountSearch}. */
export interface AccountSearchOptions {
  state: ControlState;
  archive: Archive;
  rpc: Rpc;
  /** RPC addresses of the other replicas. */
  peers: () => string[];
}

/** Search for events and changes. */
export interface AccountSearch {
  /** Finds events and changes on this replica. */
  findLocally(query: Query): Promise<ReplicaFindings>;
  /** Finds events and changes on all replicas that answer in time. */
  find(query: Query): Promise<AccountSearchResult>;
}

/** Creates the search of one replica. */
export function createAccountSearch(
  options: AccountSearchOptions,
): AccountSearch {
  const { state, archive, rpc } = options;

  function findChanges(query: Query): ReplicaFindings["changes"] {
    return state.history().filter((change) =>
      (query.since === undefined || change.wallTime >= query.since) &&
      (query.until === undefined || change.wallTime <= query.until) &&
      (query.domain === undefined || change.target === query.domain) &&
      (query.server === undefined || change.target === query.server)
    );
  }

  async function findLocally(query: Query): Promise<ReplicaFindings> {
    const includesChanges = query.requestId === undefined &&
      query.key === undefined;
    return {
      events: await archive.find(query),
      changes: includesChanges ? findChanges(query) : [],
      dropped: archive.dropped,
    };
  }

  return {
    findLocally,
    async find(query) {
      const peers = options.peers();
      const replies = await Promise.all(peers.map((peer) =>
        rpc.call({
          peer,
          method: findMethod,
          request: query,
          timeoutMs: FIND_TIMEOUT_MS,
        })
      ));
      const local = await findLocally(query);
      const found = replies.flatMap((reply) =>
        reply.isOk() ? [reply.value] : []
      );
      const all = [local, ...found];
      return {
        events: all.flatMap((part) => part.events)
          .sort((one, other) => one.wallTime - other.wallTime),
        changes: all.map((part) => part.changes)
          .sort((one, other) => other.length - one.length)[0],
        dropped: all.reduce((sum, part) => sum + part.dropped, 0),
        missing: peers.filter((_, index) => replies[index].isErr()),
      };
    },
  };
}
