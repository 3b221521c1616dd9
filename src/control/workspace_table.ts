/**
 * The workspaces of a site as nodes receive them, and their differences as the
 * history records them: without keys.
 * @module
 */
import type { Site, Workspace } from "../settings/site.ts";
import { digestKey, fingerprintKey } from "../workspaces/key_digest.ts";
import {
  countPage,
  type WorkspaceEntry,
  type WorkspaceParts,
  type WorkspaceTable,
} from "../workspaces/workspace_view.ts";
import { findKeyChanges } from "./amendments.ts";
import type { Difference } from "./commands.ts";
import { findDifferences } from "./differences.ts";
import type { Revisions } from "./revisions.ts";
import type { KnownRevisions } from "./view.ts";

/**
 * Digests by workspace. Amendments share unchanged workspaces, so that a change of
 * one of 20,000 hashes only the keys of that one.
 */
const digestsOf = new WeakMap<Workspace, string[]>();

function findDigests(workspace: Workspace): string[] {
  const known = digestsOf.get(workspace);
  if (known) {
    return known;
  }
  const digests = [...new Set(workspace.keys.map(digestKey))];
  digestsOf.set(workspace, digests);
  return digests;
}

function createEntry(name: string, workspace: Workspace): WorkspaceEntry {
  const { rank, rate_per_s: ratePerS, burst } = workspace;
  return { name, rank, ratePerS, burst, digests: findDigests(workspace) };
}

/** Returns the workspaces of a site; one from an old snapshot has none. */
export function workspacesOf(
  site: Partial<Pick<Site, "workspaces">> | undefined,
): Site["workspaces"] {
  return site?.workspaces ?? {};
}

type Page = Omit<WorkspaceTable, "revision">;

/**
 * Pages by the workspaces of a site and by offset. After a start of all nodes each
 * of them fetches the same pages.
 */
const pagesOf = new WeakMap<Site["workspaces"], Map<number, Page>>();

function createPage(workspaces: Site["workspaces"], offset: number): Page {
  const rest = Object.entries(workspaces).slice(offset);
  const { count, complete } = countPage(
    rest.map(([, { keys }]) => keys.length),
  );
  return {
    offset,
    workspaces: rest.slice(0, count)
      .map(([name, workspace]) => createEntry(name, workspace)),
    more: complete ? undefined : true,
  };
}

/** Returns the page of the table that follows those that a node has. */
function findPage(workspaces: Site["workspaces"], offset: number): Page {
  const pages = pagesOf.get(workspaces) ?? new Map<number, Page>();
  const page = pages.get(offset) ?? createPage(workspaces, offset);
  pagesOf.set(workspaces, pages.set(offset, page));
  return page;
}

/**
 * Returns the next message for a node that lacks workspaces: the changes since its
 * revision, or a page of the table if they do not fit into one message.
 */
export function buildWorkspaces(
  site: Site,
  { known, revisions }: { known: KnownRevisions; revisions: Revisions },
): WorkspaceParts {
  const workspaces = workspacesOf(site);
  const revision = revisions.workspaces;
  const { workspaces: since = 0, workspacePages: pages } = known;
  const changed = since > 0
    ? revisions.workspaceChangesSince(since)
    : undefined;
  const fits = changed &&
    countPage(changed.set.map((name) => workspaces[name].keys.length)).complete;
  if (changed && fits) {
    const set = changed.set.map((name) => createEntry(name, workspaces[name]));
    const { removed } = changed;
    return { workspaceChanges: { since, revision, set, removed } };
  }
  const offset = pages?.revision === revision ? pages.count : 0;
  return { workspaceTable: { revision, ...findPage(workspaces, offset) } };
}

/** Replaces the keys of a workspace by short fingerprints. */
function describeWorkspace(workspace: Workspace | undefined): unknown {
  return workspace &&
    { ...workspace, keys: workspace.keys.map(fingerprintKey) };
}

/** Returns a site with fingerprints in place of all keys. */
export function hideKeys(site: Site): Site {
  const entries = Object.entries(workspacesOf(site)).map((
    [name, workspace],
  ) => [name, { ...workspace, keys: workspace.keys.map(fingerprintKey) }]);
  return { ...site, workspaces: Object.fromEntries(entries) };
}

/**
 * Returns the differences of two sites. Keys stand there as fingerprints: the
 * history is shown to more people than may know the keys.
 */
export function findSiteDifferences(
  before: Site | undefined,
  after: Site,
): Difference[] {
  const { workspaces: _before, ...siteBefore } = before ?? {};
  const { workspaces: _after, ...siteAfter } = after;
  const [from, to] = [workspacesOf(before), workspacesOf(after)];
  const { set, removed } = findKeyChanges(from, to);
  const names = [...set, ...removed];
  const describe = (workspaces: Site["workspaces"]) => ({
    workspaces: Object.fromEntries(
      names.filter((name) => Object.hasOwn(workspaces, name))
        .map((name) => [name, describeWorkspace(workspaces[name])]),
    ),
  });
  return findDifferences(
    { ...siteBefore, ...describe(from) },
    { ...siteAfter, ...describe(to) },
  );
}
