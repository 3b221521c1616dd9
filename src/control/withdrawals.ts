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
}

/** Failure domains and backend servers that are out of service. */
export interface Withdrawals {
  readonly domains: ReadonlySet<string>;
  readonly servers: ReadonlySet<string>;
  /** Applies a withdrawal or a return, and returns the difference. */
  perform(action: Withdrawal): Difference[];
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

  return {
    domains,
    servers,
    perform(action) {
      const out = action.kind === "domain_out" || action.kind === "server_out";
      return "domain" in action
        ? setWithdrawn(domains, { name: action.domain, key: "domains", out })
        : setWithdrawn(servers, { name: action.server, key: "servers", out });
    },
    stored: () => ({ domainsOut: [...domains], serversOut: [...servers] }),
  };
}
