/**
 * Registered backend servers. Deterministic: the same entries give the same
 * members on every replica.
 * @module
 */
import type { Member, RegisterResult } from "./commands.ts";
import type { Revisions } from "./revisions.ts";

/** A member with the log index of its registration. */
export interface StoredMember extends Member {
  revision: number;
}

/** Registered backend servers. */
export interface MemberBook {
  /** Members by the name of their server. */
  readonly all: ReadonlyMap<string, StoredMember>;
  /**
   * Registers a member. One of another incarnation is replaced only by a
   * caller that knows its revision; else the caller is told of it.
   */
  register(
    member: Member,
    options: { expectedRevision: number; index: number },
  ): RegisterResult;
  /** Removes a member, if the incarnation is still the registered one. */
  expire(
    registration: { server: string; incarnation: string },
    index: number,
  ): boolean;
  /** Returns all members, for a snapshot. */
  entries(): [string, StoredMember][];
}

/** Creates members from a snapshot's. */
export function createMemberBook(
  stored: [string, StoredMember][],
  revisions: Revisions,
): MemberBook {
  const members = new Map(stored);

  return {
    all: members,
    register(member, { expectedRevision, index }) {
      const current = members.get(member.server);
      const sameGuard = current?.incarnation === member.incarnation;
      if (current && !sameGuard && current.revision !== expectedRevision) {
        return {
          kind: "superseded",
          revision: current.revision,
          incarnation: current.incarnation,
        };
      }
      if (current && current.service !== member.service) {
        revisions.touchService(current.service, index);
      }
      members.set(member.server, { ...member, revision: index });
      revisions.touchService(member.service, index);
      return { kind: "registered", revision: index };
    },
    expire({ server, incarnation }, index) {
      const current = members.get(server);
      if (current?.incarnation !== incarnation) {
        return false;
      }
      members.delete(server);
      revisions.touchService(current.service, index);
      return true;
    },
    entries: () => [...members],
  };
}
