/**
 * Registered backend servers. The registry is deterministic: the same entries
 * give the same members on every replica.
 * @module
 */
import type { Member, RegisterResult } from "./commands.ts";
import type { Revisions } from "./revisions.ts";

/** A member with the log index of its registration. */
export interface StoredMember extends Member {
  revision: number;
}

/** Registered backend servers. */
export interface MemberRegistry {
  /** Members by server name. */
  readonly all: ReadonlyMap<string, StoredMember>;
  /**
   * Registers a member. A member of another incarnation is replaced only if
   * `expectedRevision` is its revision; otherwise the result names its
   * incarnation and revision.
   */
  register(
    member: Member,
    options: { expectedRevision: number; index: number },
  ): RegisterResult;
  /** Removes a member if its registered incarnation is the given one. */
  expire(
    registration: { server: string; incarnation: string },
    index: number,
  ): boolean;
  /** Returns all members, for a snapshot. */
  entries(): [string, StoredMember][];
}

/** Creates a registry from the members of a snapshot. */
export function createMemberRegistry(
  stored: [string, StoredMember][],
  revisions: Revisions,
): MemberRegistry {
  const members = new Map(stored);

  return {
    all: members,
    register(member, { expectedRevision, index }) {
      const current = members.get(member.server);
      const sameIncarnation = current?.incarnation === member.incarnation;
      if (
        current && !sameIncarnation && current.revision !== expectedRevision
      ) {
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
