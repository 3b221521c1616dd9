/**
 * Registered backend servers. The registry is deterministic: the same entries
 * give the same members on every replica.
 * @module
 */
import type { Member, RegisterResult } from "./commands.ts";
import {
  createDepartureRegistry,
  type Departure,
  type StoredDeparture,
} from "./departures.ts";
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
   * incarnation and revision. A member whose boot has left is registered as
   * leaving, whatever it says: the registration may be an earlier one.
   */
  register(
    member: Member,
    options: { expectedRevision: number; index: number },
  ): RegisterResult;
  /**
   * Records a departure and marks the member of that boot as leaving. A run of
   * an instance is recorded only, since members are known by their boots.
   */
  depart(
    departed: { server: string; departure: Departure },
    entry: { index: number; logTime: number },
  ): void;
  /** Returns what has left on a VM. */
  departures(server: string): Departure[];
  /** Removes a member if its registered incarnation is the given one. */
  expire(
    registration: { server: string; incarnation: string },
    index: number,
  ): boolean;
  /** Returns all members, for a snapshot. */
  entries(): [string, StoredMember][];
  /** Returns all departures, for a snapshot. */
  departureEntries(): [string, StoredDeparture[]][];
}

/** Creates a registry from the members and departures of a snapshot. */
export function createMemberRegistry(
  stored: {
    members: [string, StoredMember][];
    departures?: [string, StoredDeparture[]][];
  },
  revisions: Revisions,
): MemberRegistry {
  const members = new Map(stored.members);
  const departures = createDepartureRegistry(stored.departures ?? []);

  function store(member: Member, index: number): void {
    const leaving = member.leaving ||
      departures.hasLeft(member.server, member.boot);
    members.set(member.server, { ...member, leaving, revision: index });
    revisions.touchService(member.service, index);
  }

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
      store(member, index);
      return { kind: "registered", revision: index };
    },
    depart({ server, departure }, { index, logTime }) {
      departures.record(server, departure, logTime);
      const current = members.get(server);
      if (current && departures.hasLeft(server, current.boot)) {
        store(current, index);
      }
    },
    departures: departures.of,
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
    departureEntries: departures.entries,
  };
}
