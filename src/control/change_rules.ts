/**
 * Rules that an operator's change must keep: who may make it, and that it does
 * not leave a service without servers unless it is forced.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { Action, Change, Member } from "./commands.ts";
import { differencesBetween } from "./differences.ts";

/** What the rules look at. */
export interface RuleFacts {
  site: Site | undefined;
  members: ReadonlyMap<string, Member>;
  domainsOut: ReadonlySet<string>;
  serversOut: ReadonlySet<string>;
  /** The operators' own number of the configuration, 0 for none. */
  number: number;
}

/** Why a change is refused. */
export interface BrokenRule {
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

/** Stands for the whole site where a team is named. */
const WHOLE_SITE = "*";

/** Returns a service whose last servers would go out of service. */
function emptiedService(
  facts: RuleFacts,
  isOut: (member: Member) => boolean,
): string | undefined {
  const before = new Set<string>();
  const after = new Set<string>();
  for (const member of facts.members.values()) {
    const inService = !member.leaving &&
      !facts.domainsOut.has(member.domain) &&
      !facts.serversOut.has(member.server);
    if (!inService) {
      continue;
    }
    before.add(member.service);
    if (!isOut(member)) {
      after.add(member.service);
    }
  }
  return [...before].find((service) => !after.has(service));
}

/** Teams whose services a new site changes, also those that lose one. */
function teamsOfSite(next: Site, current: Site | undefined): string[] {
  const before = current?.services ?? {};
  const after = next.services;
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  const teams = [...names]
    .filter((name) => differencesBetween(before[name], after[name]).length > 0)
    .flatMap((name) => [before[name]?.team, after[name]?.team])
    .filter((team) => team !== undefined);
  const { services: _before, ...limitsBefore } = current ?? { services: {} };
  const { services: _after, ...limitsAfter } = next;
  const common = differencesBetween(limitsBefore, limitsAfter);
  return common.length > 0 ? [...teams, WHOLE_SITE] : teams;
}

function teamsTouched(action: Action, facts: RuleFacts): string[] {
  switch (action.kind) {
    case "configure":
      return teamsOfSite(action.site, facts.site);
    case "server_out":
    case "server_back": {
      const service = facts.members.get(action.server)?.service ?? "";
      return [facts.site?.services[service]?.team ?? WHOLE_SITE];
    }
    default:
      return [WHOLE_SITE];
  }
}

function checkScope(change: Change, facts: RuleFacts): BrokenRule | undefined {
  const { teams, action } = change;
  const beyond = teams &&
    teamsTouched(action, facts).find((team) => !teams.includes(team));
  if (!beyond) {
    return undefined;
  }
  const scope = beyond === WHOLE_SITE ? "the whole site" : `team ${beyond}`;
  return {
    reason: "forbidden",
    detail: `the token does not cover ${scope}`,
  };
}

/** Returns the broken rule if a service would lose its last servers. */
function checkLast(
  reason: "last_domain" | "last_server",
  options: {
    facts: RuleFacts;
    isOut: (member: Member) => boolean;
    detail: string;
  },
): BrokenRule | undefined {
  const { facts, isOut, detail } = options;
  const emptied = emptiedService(facts, isOut);
  return emptied ? { reason, detail: `${detail} ${emptied}` } : undefined;
}

function checkDomain(
  action: { kind: string; domain: string },
  options: { facts: RuleFacts; force: boolean },
): BrokenRule | undefined {
  const { facts, force } = options;
  const { domain } = action;
  if (!facts.site?.domains.includes(domain)) {
    return {
      reason: "unknown_domain",
      detail: `no failure domain ${domain}`,
    };
  }
  return action.kind === "domain_out" && !force
    ? checkLast("last_domain", {
      facts,
      isOut: (member) => member.domain === domain,
      detail: `${domain} holds the last backend servers of`,
    })
    : undefined;
}

function checkServerOut(
  server: string,
  options: { facts: RuleFacts; force: boolean },
): BrokenRule | undefined {
  const { facts, force } = options;
  if (!facts.members.has(server)) {
    return {
      reason: "unknown_server",
      detail: `no backend server ${server}`,
    };
  }
  return force ? undefined : checkLast("last_server", {
    facts,
    isOut: (member) => member.server === server,
    detail: `${server} is the last backend server of`,
  });
}

function checkNumber(
  { numbering }: Change,
  { number }: RuleFacts,
): BrokenRule | undefined {
  return numbering && numbering.to <= number
    ? {
      reason: "number_not_above",
      detail: `${numbering.to} is not above ${number}`,
    }
    : undefined;
}

/** Returns the rule that a change breaks, if any. */
export function brokenRule(
  change: Change,
  facts: RuleFacts,
): BrokenRule | undefined {
  const { action, force } = change;
  const scope = checkScope(change, facts);
  if (scope) {
    return scope;
  }
  if (action.kind === "configure") {
    return checkNumber(change, facts);
  }
  if (!facts.site) {
    return {
      reason: "not_configured",
      detail: "no configuration was accepted yet",
    };
  }
  switch (action.kind) {
    case "domain_out":
    case "domain_back":
      return checkDomain(action, { facts, force });
    case "server_out":
      return checkServerOut(action.server, { facts, force });
    case "server_back":
      return undefined;
  }
}
