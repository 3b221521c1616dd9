/**
 * Answers a leader's calls: entries, heartbeats and snapshots.
 * @module
 */
import type { DurableMarks } from "./durable_marks.ts";
import type { ReplicaInfo } from "./log_store.ts";
import { appendMethod, snapshotMethod } from "./methods.ts";
import type { ReplicaParts } from "./replica_parts.ts";
import { createSnapshotParts } from "./snapshot_parts.ts";

function follow(from: ReplicaInfo, parts: ReplicaParts): void {
  const { local, ballot, contact, logger } = parts;
  if (contact.leader?.identity !== from.identity) {
    logger.info("replica.follows", {
      term: ballot.term,
      leader: from.identity,
    });
  }
  contact.heard(from);
  local.follow();
}

/** Answers entries and heartbeats; what is accepted is durable. */
export function handleAppends(parts: ReplicaParts, marks: DurableMarks): void {
  const { local, ballot, serial, rpc } = parts;
  rpc.handle(appendMethod, (request) =>
    serial.run(async () => {
      const refuse = {
        term: ballot.term,
        accepted: false,
        lastIndex: local.log?.lastIndex ?? 0,
      };
      if (!local.isMeant(request.to)) {
        return { ...refuse, refused: true as const };
      }
      if (request.term < ballot.term) {
        return refuse;
      }
      await ballot.adopt(request.term);
      follow(request.leader, parts);
      marks.take(request.marks);
      const log = local.openLog();
      const { previousIndex, previousTerm, entries } = request;
      const covered = log.snapshot?.index ?? 0;
      const matches = previousIndex < covered ||
        log.termAt(previousIndex) === previousTerm;
      if (!matches) {
        const hint = Math.min(log.lastIndex, previousIndex - 1);
        return { term: ballot.term, accepted: false, lastIndex: hint };
      }
      await log.accept(entries);
      const matched = previousIndex + entries.length;
      log.commitTo(Math.min(request.commitIndex, matched));
      follow(request.leader, parts);
      return { term: ballot.term, accepted: true, lastIndex: matched };
    }));
}

/**
 * Answers the parts of a snapshot and installs it once it is whole. The leader
 * may stop at any part, and is told how many bytes are held; parts of a
 * snapshot that is never finished stay until the next one begins.
 */
export function handleSnapshots(parts: ReplicaParts): void {
  const { local, ballot, serial, rpc, logger } = parts;
  const snapshotParts = createSnapshotParts();
  rpc.handle(snapshotMethod, (request) =>
    serial.run(async () => {
      const refuse = { term: ballot.term, received: 0 };
      if (!local.isMeant(request.to)) {
        return { ...refuse, refused: true as const };
      }
      if (request.term < ballot.term) {
        return refuse;
      }
      await ballot.adopt(request.term);
      follow(request.leader, parts);
      const { received, whole } = snapshotParts.add(request);
      if (whole) {
        await local.openLog().install({
          index: request.index,
          term: request.lastTerm,
          logTime: request.logTime,
          membership: request.membership,
          state: new Uint8Array(whole),
        });
        logger.info("replica.snapshot_installed", { index: request.index });
      }
      follow(request.leader, parts);
      return { term: ballot.term, received };
    }));
}
