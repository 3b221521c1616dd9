/**
 * Changes of a configuration with many routes. A change of one route that costs
 * what all routes cost stalls the leader, fills the nodes' links, and is in force
 * too late.
 */
import { Packr } from "msgpackr";
import { test } from "tap";
import type { Change } from "../../src/control/commands.ts";
import type { Control } from "../../src/control/control.ts";
import {
  handleSyncs,
  type NodeHandlerParts,
} from "../../src/control/node_handlers.ts";
import { unpackView } from "../../src/control/route_packing.ts";
import { createControlState } from "../../src/control/state.ts";
import { submitChange } from "../../src/control/submission.ts";
import type { View } from "../../src/control/view.ts";
import { prepareHashes } from "../../src/core/hash.ts";
import { fakeChange } from "../../src/control/fake_change.ts";
import { createDirectory } from "../../src/node/directory.ts";
import { type Site, siteSchema } from "../../src/settings/site.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";

await prepareHashes();

const ROUTES = 1_400;
/** Largest share of the whole that a change of one route may send. */
const CHANGE_SHARE = 0.02;
/** A node that has received revision 1. */
const KNOWN = {
  global: 1,
  routes: 1,
  services: {},
  takesRouteChanges: true,
};
const UNKNOWN = { global: 0, routes: 0, services: {} };

/** Bytes that a link of 8.4 Mbit/s carries in 60 ms. */
const MAX_LARGE_VIEW_BYTES = 63_000;

const packr = new Packr({ useRecords: false });

function createRoute(number: number, deadlineMs: number) {
  return {
    class: `r-${number}`,
    repeatable: true,
    deadline_ms: deadlineMs,
    host: "shop.example",
    prefix: `/part-${number}/`,
    targets: [{ service: "work" }],
  };
}

/** Returns a site in which one route has another deadline. */
function createSite(deadlineMs: number): Site {
  return siteSchema.parse({
    name: "lab",
    domains: ["east"],
    services: { work: { team: "work" } },
    routes: Object.fromEntries(
      Array.from({ length: ROUTES }, (_, number) => [
        `r-${number}`,
        createRoute(number, number === 7 ? deadlineMs : 800),
      ]),
    ),
  });
}

function createConfiguredState(sites: Site[]) {
  const state = createControlState();
  sites.forEach((site, index) =>
    state.apply({
      index: index + 1,
      logTime: index,
      command: fakeChange({
        changeId: `change${index}`,
        action: { kind: "configure", site },
      }),
    })
  );
  return state;
}

function findDeadline(
  directory: ReturnType<typeof createDirectory>,
  path: string,
): number | undefined {
  return directory.route({
    method: "GET",
    host: "shop.example",
    path,
    randomFraction: () => 0,
  })?.policy?.deadline_ms;
}

test("a change of one route among many is sent to a node without the others", (t) => {
  const state = createConfiguredState([createSite(800), createSite(900)]);
  const whole = packr.pack(state.viewSince(UNKNOWN)).length;
  const change = packr.pack(state.viewSince(KNOWN)).length;
  t.ok(change < whole * CHANGE_SHARE, `${change} of ${whole} bytes`);
  t.end();
});

/** Returns the view that a replica sends to a node with revision 1. */
async function syncOnce(
  state: ReturnType<typeof createControlState>,
): Promise<View> {
  const views: View[] = [];
  const parts = {
    state,
    rpc: {
      async handle(_method: unknown, handler: (request: unknown) => unknown) {
        const request = { node: "vm1", known: KNOWN, confirm: false };
        const reply = await handler({ ...request, events: [] });
        views.push((reply as { view: View }).view);
      },
    },
    replica: {
      stalenessMs: () => 0,
      addresses: () => [],
      status: () => ({ leader: "" }),
    },
    archive: { add: () => Promise.resolve() },
  };
  handleSyncs(parts as unknown as NodeHandlerParts);
  await Promise.resolve();
  await Promise.resolve();
  return views[0];
}

/** Submits a change to a replica; returns it as it is sent to the leader. */
async function submit(
  state: ReturnType<typeof createControlState>,
  change: Parameters<typeof submitChange>[0],
): Promise<Change> {
  const sent: Change[] = [];
  const control = {
    state,
    change(next: Change) {
      sent.push(next);
      return Promise.resolve({
        kind: "done",
        value: { kind: "accepted", version: 0 },
      });
    },
  } as unknown as Control;
  await submitChange(change, {
    control,
    timer: createFakeTimer(),
    timeoutMs: 100,
  });
  return sent[0];
}

function createNumberedChange(site: Site, after: number) {
  const document = Object.entries(site.routes)
    .map((route) => JSON.stringify(route)).join("\n");
  const action = { kind: "configure" as const, site, document };
  const numbering = { after, to: after + 1 };
  return fakeChange({ changeId: `number${after}`, action, numbering });
}

test("a change of one route among many puts only that route into the log", async (t) => {
  const first = createNumberedChange(createSite(800), 0);
  const second = createNumberedChange(createSite(900), 1);
  const [state, replica] = [createControlState(), createControlState()];
  state.apply({ index: 1, logTime: 0, command: first });
  replica.apply({ index: 1, logTime: 0, command: first });
  const sent = await submit(state, second);
  const bytes = packr.pack(sent).length;
  const wholeBytes = packr.pack(second).length;
  t.ok(bytes < wholeBytes * CHANGE_SHARE, `${bytes} of ${wholeBytes} bytes`);

  const result = state.apply({ index: 2, logTime: 1, command: sent });
  replica.apply({ index: 2, logTime: 1, command: second });
  t.match(result, { kind: "accepted", version: 2 });
  t.same(state.site, replica.site);
  t.equal(state.document, replica.document);
  t.same(state.viewSince(KNOWN), replica.viewSince(KNOWN));
  t.same(
    state.apply({ index: 3, logTime: 2, command: second }),
    result,
    "a resend of the whole configuration gets the same result",
  );
  const restored = createControlState();
  restored.restore(state.snapshot());
  t.same(restored.amendable, state.amendable);
});

test("a change of many routes fits into the link of a node", async (t) => {
  const [before, after] = [createSite(800), createSite(900)];
  const routes = Object.fromEntries(Object.entries(after.routes).slice(0, 8));
  const state = createConfiguredState([{ ...before, routes }, after]);
  const view = await syncOnce(state);
  const bytes = packr.pack(view).length;
  t.ok(bytes < MAX_LARGE_VIEW_BYTES, `${bytes} bytes`);
  const directory = createDirectory();
  directory.apply(
    createConfiguredState([{ ...before, routes }]).viewSince(
      UNKNOWN,
    ),
  );
  directory.apply(unpackView(view));
  t.equal(findDeadline(directory, "/part-1399/x"), 800);
  t.equal(findDeadline(directory, "/part-7/x"), 900);
});

test("a part of a configuration is not applied to another one", async (t) => {
  const state = createControlState();
  state.apply({
    index: 1,
    logTime: 0,
    command: createNumberedChange(createSite(800), 0),
  });
  const sent = await submit(state, createNumberedChange(createSite(900), 1));
  const unnumbered = fakeChange({
    changeId: "unnumbered",
    action: { kind: "configure", site: createSite(700) },
  });
  state.apply({ index: 2, logTime: 1, command: unnumbered });
  const result = state.apply({ index: 3, logTime: 2, command: sent });
  t.match(result, { kind: "conflict" });
  t.same(state.site, createSite(700));
});

test("a node that applies the changes of routes serves what is in force", (t) => {
  const { "r-3": _removed, ...routes } = createSite(900).routes;
  const before = createConfiguredState([createSite(800)]);
  const after = createConfiguredState([
    createSite(800),
    { ...createSite(900), routes },
  ]);
  const directory = createDirectory();
  directory.apply(before.viewSince(directory.known));
  directory.apply(after.viewSince(directory.known));
  t.equal(directory.known.routes, 2);
  t.equal(findDeadline(directory, "/part-7/x"), 900, "changed");
  t.equal(findDeadline(directory, "/part-3/x"), undefined, "removed");
  t.equal(findDeadline(directory, "/part-8/x"), 800, "unchanged");

  const peer = createDirectory();
  peer.apply(before.viewSince(peer.known));
  const fromPeer = directory.newerThan(peer.known);
  t.equal(fromPeer.routeTable, undefined, "a peer gets only the changes");
  peer.apply(fromPeer);
  t.equal(findDeadline(peer, "/part-7/x"), 900);
  t.equal(findDeadline(peer, "/part-3/x"), undefined);
  t.end();
});

test("changes that begin after a node's routes are not applied", (t) => {
  const directory = createDirectory();
  directory.apply(createConfiguredState([createSite(800)]).viewSince(UNKNOWN));
  directory.apply({
    services: [],
    routeChanges: { since: 4, revision: 5, set: [], removed: ["r-7"] },
  });
  t.equal(directory.known.routes, 1);
  t.equal(findDeadline(directory, "/part-7/x"), 800);
  t.end();
});

test("a node that cannot apply changes gets the whole table", (t) => {
  const state = createConfiguredState([createSite(800), createSite(900)]);
  const view = state.viewSince({ ...KNOWN, takesRouteChanges: undefined });
  t.equal(view.routeTable?.prefixes.length, ROUTES);
  t.equal(view.routeChanges, undefined);
  t.end();
});
