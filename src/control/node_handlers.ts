/**
 * Answers the calls of nodes.
 * @module
 */
import type { Archive } from "../account/archive.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import type { LeaseKeeper } from "./lease_keeper.ts";
import {
  changeMethod,
  claimMethod,
  confirmMethod,
  leaveMethod,
  registerMethod,
  renewMethod,
  settleMethod,
  syncMethod,
} from "./node_methods.ts";
import type { Replica } from "./replica.ts";
import type { ControlState } from "./state.ts";

/** What answers are made of. */
export interface NodeHandlerParts {
  rpc: Rpc;
  state: ControlState;
  replica: Replica;
  calls: LeaderCalls;
  keeper: LeaseKeeper;
  archive: Archive;
}

/** Answers syncs: news, and whether a quorum confirms them. */
export function handleSyncs(parts: NodeHandlerParts): void {
  const { rpc, state, replica, calls, keeper, archive } = parts;
  rpc.handle(syncMethod, async (request) => {
    const { known, renewal, confirm, events } = request;
    if (renewal) {
      keeper.note(renewal);
    }
    void archive.add(events);
    const confirmed = confirm ? await calls.confirmRead() : false;
    return {
      confirmed,
      stalenessMs: Math.min(replica.stalenessMs(), Number.MAX_SAFE_INTEGER),
      leader: replica.status().leader,
      replicas: replica.addresses(),
      fleetSize: state.members().length,
      leaseLost: renewal !== undefined && keeper.isLost(renewal),
      view: state.viewSince(known),
      own: confirmed ? state.member(request.node) : undefined,
    };
  });
}

/** Answers what only the leader can do. */
export function handleLeaderCalls(parts: NodeHandlerParts): void {
  const { rpc, calls, keeper } = parts;
  rpc.handle(renewMethod, (request) => keeper.renew(request.renewals));
  rpc.handle(
    registerMethod,
    (request) => calls.propose({ kind: "register", ...request }),
  );
  rpc.handle(
    leaveMethod,
    (request) => calls.propose({ kind: "expire", cause: "left", ...request }),
  );
  rpc.handle(claimMethod, (request) => calls.propose(request));
  rpc.handle(
    settleMethod,
    (request) => calls.propose({ kind: "settle", ...request }),
  );
  rpc.handle(changeMethod, (request) => calls.propose(request));
  rpc.handle(confirmMethod, calls.confirmHere);
}
