/**
 * Validation of operators' changes: a change must be within the operator's
 * scope, and must not leave a service without servers unless it is forced.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { Action, Member } from "./commands.ts";
import { findDifferences } from "./differences.ts";
import type { WholeChange } from "./history.ts";

/** State that a change is validated against. */
export interface ChangeContext {
  site: Site | undefined;
  members: ReadonlyMap<string, Member>;
  domainsOut: ReadonlySet<string>;
  serversOut: ReadonlySet<string>;
  /** Number that operators gave to the configuration, 0 for none. */
  number: number;
}

/** Reason for which a change is refused. */
export interface RuleViolation {
  reason:
    | "last_domain"
    | "last_server"
    | "unknown_domain"
    | "unknown_server"
    | "forbidden"
    | "not_configured"
    | "number_not_above";
  detail: string;
}

/** Pseudo-team of changes that affect the whole site. */
const WHOLE_SITE = "*";

/** Returns a service whose last available servers would be withdrawn, if any. */
function findEmptiedService(
  context: ChangeContext,
  isWithdrawn: (member: Member) => boolean,
): string | undefined {
  const before = new Set<string>();
  const after = new Set<string>();
  for (const member of context.members.values()) {
    const available = !member.leaving &&
      !context.domainsOut.has(member.domain) &&
      !context.serversOut.has(member.server);
    if (!available) {
      continue;
    }
    before.add(member.service);
    if (!isWithdrawn(member)) {
      after.add(member.service);
    }
  }
  return [...before].find((service) => !after.has(service));
}

/**
 * Returns the teams whose services a new site adds, changes or removes, and
 * `WHOLE_SITE` if it changes anything else.
 */
function findTeamsOfChangedSite(
  next: Site,
  current: Site | undefined,
): string[] {
  const before = current?.services ?? {};
  const after = next.services;
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const teams = [...names]
    .filter((name) => findDifferences(before[name], after[name]).length > 0)
    .flatMap((name) => [before[name]?.team, after[name]?.team])
    .filter((team) => team !== undefined);
  const { services: _before, ...siteBefore } = current ?? { services: {} };
  const { services: _after, ...siteAfter } = next;
  const siteDifferences = findDifferences(siteBefore, siteAfter);
  return siteDifferences.length > 0 ? [...teams, WHOLE_SITE] : teams;
}

function findAffectedTeams(action: Action, context: ChangeContext): string[] {
  switch (action.kind) {
    case "configure":
      return findTeamsOfChangedSite(action.site, context.site);
    case "server_out":
    case "server_back": {
      const service = context.members.get(action.server)?.service ?? "";
      return [context.site?.services[service]?.team ?? WHOLE_SITE];
    }
    default:
      return [WHOLE_SITE];
  }
}

function checkScope(
  change: WholeChange,
  context: ChangeContext,
): RuleViolation | undefined {
  const { teams, action } = change;
  const uncovered = teams &&
    findAffectedTeams(action, context).find((team) => !teams.includes(team));
  if (!uncovered) {
    return undefined;
  }
  const scope = uncovered === WHOLE_SITE
    ? "the whole site"
    : `team ${uncovered}`;
  return {
    reason: "forbidden",
    detail: `the token does not cover ${scope}`,
  };
}

/** Returns a violation if a service would lose its last available servers. */
function checkRemainingServers(
  reason: "last_domain" | "last_server",
  options: {
    context: ChangeContext;
    isWithdrawn: (member: Member) => boolean;
    detail: string;
  },
): RuleViolation | undefined {
  const { context, isWithdrawn, detail } = options;
  const emptied = findEmptiedService(context, isWithdrawn);
  return emptied ? { reason, detail: `${detail} ${emptied}` } : undefined;
}

function checkDomain(
  action: { kind: string; domain: string },
  options: { context: ChangeContext; force: boolean },
): RuleViolation | undefined {
  const { context, force } = options;
  const { domain } = action;
  if (!context.site?.domains.includes(domain)) {
    return {
      reason: "unknown_domain",
      detail: `no failure domain ${domain}`,
    };
  }
  return action.kind === "domain_out" && !force
    ? checkRemainingServers("last_domain", {
      context,
      isWithdrawn: (member) => member.domain === domain,
      detail: `${domain} holds the last backend servers of`,
    })
    : undefined;
}

function checkServerOut(
  server: string,
  options: { context: ChangeContext; force: boolean },
): RuleViolation | undefined {
  const { context, force } = options;
  if (!context.members.has(server)) {
    return {
      reason: "unknown_server",
      detail: `no backend server ${server}`,
    };
  }
  return force ? undefined : checkRemainingServers("last_server", {
    context,
    isWithdrawn: (member) => member.server === server,
    detail: `${server} is the last backend server of`,
  });
}

function checkNumber(
  { numbering }: WholeChange,
  { number }: ChangeContext,
): RuleViolation | undefined {
  return numbering && numbering.to <= number
    ? {
      reason: "number_not_above",
      detail: `${numbering.to} is not above ${number}`,
    }
    : undefined;
}

/** Returns the first violation of a change, if any. */
export function findViolation(
  change: WholeChange,
  context: ChangeContext,
): RuleViolation | undefined {
  const { action, force } = change;
  const scope = checkScope(change, context);
  if (scope) {
    return scope;
  }
  if (action.kind === "configure") {
    return checkNumber(change, context);
  }
  if (!context.site) {
    return {
      reason: "not_configured",
      detail: "no configuration was accepted yet",
    };
  }
  switch (action.kind) {
    case "domain_out":
    case "domain_back":
      return checkDomain(action, { context, force });
    case "server_out":
      return checkServerOut(action.server, { context, force });
    case "server_back":
      return undefined;
  }
}
