/**
 * Failure domains and backend servers that operators have taken out of service.
 * @module
 */
import type { Action, Difference } from "./commands.ts";

/** Takes a failure domain or a backend server out of service, or returns it. */
export type Withdrawal = Exclude<Action, { kind: "configure" }>;

/** Withdrawals as stored in a snapshot. */
export interface StoredWithdrawals {
  domainsOut: string[];
  serversOut: string[];
  /**
   * Version of the last change to each failure domain; snapshots of earlier
   * versions have none.
   */
  domainVersions?: [string, number][];
}

/** Failure domains and backend servers that are out of service. */
export interface Withdrawals {
  readonly domains: ReadonlySet<string>;
  readonly servers: ReadonlySet<string>;
  /** Returns the version of the last change to a failure domain, 0 for none. */
  domainVersion(domain: string): number;
  /**
   * Applies a withdrawal or a return that makes `version`, and returns the
   * difference.
   */
  perform(action: Withdrawal, version: number): Difference[];
  /** Returns all withdrawals, for a snapshot. */
  stored(): StoredWithdrawals;
}

function setWithdrawn(
  set: Set<string>,
  options: { name: string; key: string; out: boolean },
): Difference[] {
  const { name, key, out } = options;
  const before = set.has(name);
  if (out) {
    set.add(name);
  } else {
    set.delete(name);
  }
  return [{ key: `${key}.${name}.out`, before, after: out }];
}

/** Creates withdrawals from those of a snapshot. */
export function createWithdrawals(stored: StoredWithdrawals): Withdrawals {
  const domains = new Set(stored.domainsOut);
  const servers = new Set(stored.serversOut);
  const domainVersions = new Map(stored.domainVersions);

  return {
    domains,
    servers,
    domainVersion: (domain) => domainVersions.get(domain) ?? 0,
    perform(action, version) {
      const out = action.kind === "domain_out" || action.kind === "server_out";
      if (!("domain" in action)) {
        return setWithdrawn(servers, {
          name: action.server,
          key: "servers",
          out,
        });
      }
      domainVersions.set(action.domain, version);
      return setWithdrawn(domains, {
        name: action.domain,
        key: "domains",
        out,
      });
    },
    stored: () => ({
      domainsOut: [...domains],
      serversOut: [...servers],
      domainVersions: [...domainVersions],
    }),
  };
}
