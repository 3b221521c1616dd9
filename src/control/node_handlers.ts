/**
 * RPC handlers for the calls of nodes, and for those of other replicas to the
 * leader.
 * @module
 */
import { z } from "zod";
import type { Archive } from "../account/archive.ts";
import { type Event, eventSchema } from "../account/events.ts";
import { StepError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import type { LeaseManager } from "./lease_manager.ts";
import { findMemberDefect } from "./member_defects.ts";
import {
  changeMethod,
  claimMethod,
  confirmMethod,
  departMethod,
  leaveMethod,
  registerMethod,
  renewMethod,
  reportSuspicionsMethod,
  settleMethod,
  syncMethod,
} from "./node_methods.ts";
import type { Replica } from "./replica.ts";
import { createRoutePacker } from "./route_packing.ts";
import type { ControlState } from "./state.ts";
import { createWorkspacePacker } from "../workspaces/workspace_packing.ts";

/** Components that the handlers use. */
export interface NodeHandlerParts {
  rpc: Rpc;
  state: ControlState;
  replica: Replica;
  calls: LeaderCalls;
  leases: LeaseManager;
  archive: Archive;
  logger: Logger;
}

/**
 * Handles syncs: answers with the newer parts of the view, and whether a quorum
 * has confirmed them.
 */
export function handleSyncs(parts: NodeHandlerParts): void {
  const { rpc, state, replica, calls, leases, archive, logger } = parts;

  /** Returns the events of a node that can be read, and logs the others. */
  function readEvents(node: string, entries: readonly unknown[]): Event[] {
    return entries.flatMap((entry) => {
      const parsed = eventSchema.safeParse(entry);
      if (parsed.success) {
        return [parsed.data];
      }
      const defect = z.prettifyError(parsed.error);
      logger.warn("control.event_left_out", { node, defect });
      return [];
    });
  }

  const packer = createRoutePacker();
  const workspacePacker = createWorkspacePacker();
  rpc.handle(syncMethod, async (request) => {
    const { known, renewal, confirm, events, knownSuspects } = request;
    if (renewal) {
      leases.queueRenewal(renewal);
    }
    void archive.add(readEvents(request.node, events));
    const confirmed = confirm ? await calls.confirmRead() : false;
    return {
      confirmed,
      stalenessMs: Math.min(replica.stalenessMs(), Number.MAX_SAFE_INTEGER),
      leader: replica.status().leader,
      replicas: replica.addresses(),
      fleetSize: state.members().length,
      leaseLost: renewal !== undefined && leases.isLost(renewal),
      view: known.takesRouteChanges
        ? workspacePacker.pack(packer.pack(state.viewSince(known)))
        : state.viewSince(known),
      own: confirmed ? state.member(request.node) : undefined,
      ownRevision: confirmed ? state.memberRevision(request.node) : undefined,
      suspects: knownSuspects && state.suspectsSince(knownSuspects),
      departed: confirmed ? state.departures(request.node) : undefined,
    };
  });
}

/** Handles the calls that only the leader can answer. */
export function handleLeaderCalls(parts: NodeHandlerParts): void {
  const { rpc, calls, leases } = parts;
  rpc.handle(renewMethod, (request) => leases.renew(request.renewals));
  rpc.handle(registerMethod, async (request) => {
    const defect = findMemberDefect(request.member);
    if (defect) {
      throw new StepError("control.register", defect, {
        peer: request.member.server,
      });
    }
    return await calls.propose({ kind: "register", ...request });
  });
  rpc.handle(
    leaveMethod,
    (request) => calls.propose({ kind: "expire", cause: "left", ...request }),
  );
  rpc.handle(
    departMethod,
    (request) => calls.propose({ kind: "depart", ...request }),
  );
  rpc.handle(
    reportSuspicionsMethod,
    (request) => calls.propose({ kind: "suspicions", ...request }),
  );
  rpc.handle(claimMethod, (request) => calls.propose(request));
  rpc.handle(
    settleMethod,
    (request) => calls.propose({ kind: "settle", ...request }),
  );
  rpc.handle(changeMethod, (request) => calls.propose(request));
  rpc.handle(confirmMethod, calls.confirmLocally);
}
