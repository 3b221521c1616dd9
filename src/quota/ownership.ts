/**
 * Which node decides about a workspace: rendezvous hashing over the registered
 * members, so that few workspaces move when a member comes or goes. Each owner
 * has a deputy in each group of nodes, which decides for the nodes of its group
 * while the owner is silent. A group is a failure domain, or a part of one at a
 * site of few domains.
 *
 * The load that this answers: 1,000 nodes and 20,000 workspaces, of which a node
 * sees few; the result for a workspace is computed once per view.
 * @module
 */

/** A node that may decide about workspaces. */
export interface QuotaMember {
  server: string;
  domain: string;
  address: string;
}

/** A view of the members, and what follows from it. */
export interface Ownership {
  /** Replaces the members; returns whether any came, went or moved. */
  update(
    members: readonly QuotaMember[],
    options: { now: number; domainCount: number },
  ): boolean;
  /** Monotonic time of the last change. */
  readonly changedAt: number;
  readonly size: number;
  /** Returns the owner of a workspace, if there are members. */
  ownerOf(workspace: string): QuotaMember | undefined;
  /** Returns the owner of a workspace before the last change. */
  previousOwnerOf(workspace: string): QuotaMember | undefined;
  /** Returns the group of a node. */
  groupOf(node: { server: string; domain: string }): string;
  /** Returns the deputy of an owner in a group, if there is another member. */
  deputyOf(owner: string, group: string): QuotaMember | undefined;
  /** Returns the groups that have members, or had some a while ago. */
  groups(now: number): QuotaGroup[];
}

/** A group of nodes that may be cut off together. */
export interface QuotaGroup {
  name: string;
  /** Share of all nodes that are in the group. */
  share: number;
  /** Whether the group has members at present. */
  present: boolean;
}

/**
 * Time for which the share of a group is kept whose members are gone. After it
 * a part that is cut off from control has stopped to give out its share.
 */
export const GROUP_MEMORY_MS = 30_000;
/**
 * Least number of groups: the share of a group whose deputy is lost is not given
 * out until control has removed the deputy.
 */
const MIN_GROUPS = 4;
/** Largest number of workspaces whose owner is kept. */
const MAX_KNOWN_OWNERS = 10_000;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const MIX = 0x85ebca6b;
const MIX_AGAIN = 0xc2b2ae35;

/** Returns a 32-bit hash of a text (FNV-1a). */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Returns the weight of a member for a key, evenly distributed. */
function weightOf(member: number, key: number): number {
  let mixed = member ^ Math.imul(key, MIX);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_AGAIN);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

interface HashedMember extends QuotaMember {
  hash: number;
}

function heaviest(
  members: readonly HashedMember[],
  key: string,
  except?: string,
): QuotaMember | undefined {
  const keyHash = hashOf(key);
  let best: HashedMember | undefined;
  let bestWeight = -1;
  for (const member of members) {
    const weight = weightOf(member.hash, keyHash);
    const wins = weight > bestWeight ||
      (weight === bestWeight && best && member.server < best.server);
    if (wins && member.server !== except) {
      best = member;
      bestWeight = weight;
    }
  }
  return best;
}

/** Creates an ownership without members. */
export function createOwnership(): Ownership {
  let members: HashedMember[] = [];
  let previousMembers: HashedMember[] = [];
  let byGroup = new Map<string, HashedMember[]>();
  let partsPerDomain = 1;
  let identity = "";
  let changedAt = -Infinity;
  const owners = new Map<string, QuotaMember | undefined>();
  const deputies = new Map<string, QuotaMember | undefined>();
  /** Number of members of each group before it lost some. */
  const sizes = new Map<string, { count: number; seenAt: number }>();

  function groupOf(node: { server: string; domain: string }): string {
    const part = partsPerDomain > 1 ? hashOf(node.server) % partsPerDomain : 0;
    return `${node.domain}/${part}`;
  }

  function indexGroups(): void {
    byGroup = new Map();
    for (const member of members) {
      const group = groupOf(member);
      const list = byGroup.get(group) ?? [];
      list.push(member);
      byGroup.set(group, list);
    }
  }

  /** Records the sizes of groups until now, and of those that have grown. */
  function recordSizes(
    previous: ReadonlyMap<string, readonly unknown[]>,
    now: number,
  ): void {
    for (const [group, size] of sizes) {
      if (size.count === previous.get(group)?.length) {
        size.seenAt = now;
      }
    }
    for (const [group, list] of byGroup) {
      const size = sizes.get(group);
      if (!size || list.length >= size.count) {
        sizes.set(group, { count: list.length, seenAt: now });
      }
    }
  }

  /** Returns how many nodes a group counts for. */
  function countOf(group: string, now: number): number {
    const present = byGroup.get(group)?.length ?? 0;
    const size = sizes.get(group);
    if (!size || present >= size.count) {
      return present;
    }
    if (now - size.seenAt <= GROUP_MEMORY_MS) {
      return size.count;
    }
    if (present === 0) {
      sizes.delete(group);
    } else {
      sizes.set(group, { count: present, seenAt: now });
    }
    return present;
  }

  return {
    get changedAt() {
      return changedAt;
    },
    get size() {
      return members.length;
    },
    update(next, { now, domainCount }) {
      const sorted = [...next].sort((one, other) =>
        one.server < other.server ? -1 : 1
      );
      const nextIdentity = [
        domainCount,
        ...sorted.map(({ server, domain, address }) =>
          `${server} ${domain} ${address}`
        ),
      ].join("\n");
      if (nextIdentity === identity) {
        return false;
      }
      identity = nextIdentity;
      changedAt = now;
      const parts = Math.max(1, Math.ceil(MIN_GROUPS / domainCount));
      if (parts !== partsPerDomain) {
        partsPerDomain = parts;
        sizes.clear();
      }
      previousMembers = members;
      members = sorted.map((member) => ({
        ...member,
        hash: hashOf(member.server),
      }));
      const previous = byGroup;
      indexGroups();
      recordSizes(previous, now);
      owners.clear();
      deputies.clear();
      return true;
    },
    ownerOf(workspace) {
      const known = owners.get(workspace);
      if (known) {
        return known;
      }
      const owner = heaviest(members, workspace);
      if (owners.size >= MAX_KNOWN_OWNERS) {
        owners.clear();
      }
      owners.set(workspace, owner);
      return owner;
    },
    previousOwnerOf: (workspace) => heaviest(previousMembers, workspace),
    groupOf,
    deputyOf(owner, group) {
      const key = `${owner}\n${group}`;
      if (!deputies.has(key)) {
        deputies.set(
          key,
          heaviest(byGroup.get(group) ?? [], `deputy ${owner}`, owner),
        );
      }
      return deputies.get(key);
    },
    groups(now) {
      const counts = [...sizes.keys()].map((name) => ({
        name,
        count: countOf(name, now),
      }));
      const total = counts.reduce((sum, { count }) => sum + count, 0);
      return counts.filter(({ count }) => count > 0).map(({ name, count }) => ({
        name,
        share: count / total,
        present: (byGroup.get(name)?.length ?? 0) > 0,
      }));
    },
  };
}
