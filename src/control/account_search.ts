/**
 * Finds events and changes for an account, on all replicas that answer.
 * @module
 */
import type { z } from "zod";
import type { Archive } from "../account/archive.ts";
import type { Query } from "../account/events.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { findMethod } from "./node_methods.ts";
import type { ControlState } from "./state.ts";

/** Longest wait for another replica in milliseconds. */
const FIND_TIMEOUT_MS = 700;

/** What one replica found. */
export type FoundHere = z.infer<typeof findMethod.reply>;

/** Events and changes found for an account. */
export interface FoundAccount extends FoundHere {
  /** Replicas that did not answer, so that the account may have gaps. */
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

/** Finds events and changes. */
export interface AccountSearch {
  /** Finds what this replica holds. */
  findHere(query: Query): Promise<FoundHere>;
  /** Finds what all replicas hold that answer in time. */
  find(query: Query): Promise<FoundAccount>;
}

/** Creates the search of one replica. */
export function createAccountSearch(
  options: AccountSearchOptions,
): AccountSearch {
  const { state, archive, rpc } = options;

  function changesMatching(query: Query): FoundHere["changes"] {
    return state.history().filter((change) =>
      (query.since === undefined || change.wallTime >= query.since) &&
      (query.until === undefined || change.wallTime <= query.until) &&
      (query.domain === undefined || change.target === query.domain) &&
      (query.server === undefined || change.target === query.server)
    );
  }

  async function findHere(query: Query): Promise<FoundHere> {
    const broad = query.requestId === undefined && query.key === undefined;
    return {
      events: await archive.find(query),
      changes: broad ? changesMatching(query) : [],
      dropped: archive.dropped,
    };
  }

  return {
    findHere,
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
      const local = await findHere(query);
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
