/**
 * Answers a leader's append and snapshot requests.
 * @module
 */
import type { DurableWatermarks } from "./durable_watermarks.ts";
import type { ReplicaInfo } from "./log_store.ts";
import { appendMethod, snapshotMethod } from "./methods.ts";
import type { ReplicaContext } from "./replica_context.ts";
import { createSnapshotAssembler } from "./snapshot_assembler.ts";

function follow(from: ReplicaInfo, context: ReplicaContext): void {
  const { local, termState, contact, logger } = context;
  if (contact.leader?.identity !== from.identity) {
    logger.info("replica.follows", {
      term: termState.term,
      leader: from.identity,
    });
  }
  contact.recordContact(from);
  local.follow();
}

/**
 * Answers append requests, which carry entries or are only heartbeats. Accepted
 * entries are durable before the reply.
 */
export function handleAppends(
  context: ReplicaContext,
  marks: DurableWatermarks,
): void {
  const { local, termState, serial, rpc } = context;
  rpc.handle(appendMethod, (request) =>
    serial.run(async () => {
      const rejection = {
        term: termState.term,
        accepted: false,
        lastIndex: local.log?.lastIndex ?? 0,
      };
      if (!local.acceptsCallsFor(request.to)) {
        return { ...rejection, refused: true as const };
      }
      if (request.term < termState.term) {
        return rejection;
      }
      await termState.adopt(request.term);
      follow(request.leader, context);
      marks.update(request.marks);
      const log = local.openLog();
      const { previousIndex, previousTerm, entries } = request;
      const covered = log.snapshot?.index ?? 0;
      const matches = previousIndex < covered ||
        log.termAt(previousIndex) === previousTerm;
      if (!matches) {
        const hint = Math.min(log.lastIndex, previousIndex - 1);
        return { term: termState.term, accepted: false, lastIndex: hint };
      }
      await log.accept(entries);
      const matched = previousIndex + entries.length;
      log.commitTo(Math.min(request.commitIndex, matched));
      follow(request.leader, context);
      return { term: termState.term, accepted: true, lastIndex: matched };
    }));
}

/**
 * Answers snapshot chunks and installs the snapshot once it is complete. The
 * leader may stop at any chunk; each reply states how many bytes are held.
 * Chunks of an incomplete snapshot are kept until the next snapshot begins.
 */
export function handleSnapshots(context: ReplicaContext): void {
  const { local, termState, serial, rpc, logger } = context;
  const assembler = createSnapshotAssembler();
  rpc.handle(snapshotMethod, (request) =>
    serial.run(async () => {
      const rejection = { term: termState.term, received: 0 };
      if (!local.acceptsCallsFor(request.to)) {
        return { ...rejection, refused: true as const };
      }
      if (request.term < termState.term) {
        return rejection;
      }
      await termState.adopt(request.term);
      follow(request.leader, context);
      const { received, assembled } = assembler.add(request);
      if (assembled) {
        await local.openLog().install({
          index: request.index,
          term: request.lastTerm,
          logTime: request.logTime,
          membership: request.membership,
          state: new Uint8Array(assembled),
        });
        logger.info("replica.snapshot_installed", { index: request.index });
      }
      follow(request.leader, context);
      return { term: termState.term, received };
    }));
}
