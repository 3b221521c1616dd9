import { test } from "tap";
import { prepareHashes } from "../core/hash.ts";
import { type Site, siteSchema } from "../settings/site.ts";
import type { Command } from "./commands.ts";
import { fakeChange } from "./fake_change.ts";
import { createFakeMember } from "./fake_member.ts";
import { type ControlState, createControlState } from "./state.ts";

// Changes are stored with hashes, whose function loads asynchronously.
await prepareHashes();

/** Revisions of a node that has no part of the view yet. */
const NO_REVISIONS = { global: 0, routes: 0, services: { work: 0, other: 0 } };

function service(slots: number) {
  return {
    team: "work",
    slots,
    routes: { look: { path: "/look/:id", class: "look", repeatable: true } },
  };
}

function site(slots: number, otherSlots = 1): Site {
  return siteSchema.parse({
    name: "lab",
    domains: ["east", "west"],
    services: { work: service(slots), other: service(otherSlots) },
  });
}

function createTestState() {
  const state = createControlState();
  let index = 0;
  function apply(command: Command): unknown {
    return state.apply({ index: ++index, logTime: index, command });
  }
  function configure(next: Site): unknown {
    const action = { kind: "configure", site: next, document: "text" } as const;
    return apply(fakeChange({ changeId: `change${index}`, action }));
  }
  return { state, apply, configure };
}

/** Returns the results of all queries of a state. */
function readAll(state: ControlState): unknown {
  const { version, number, document, revision, site, domainsOut, serversOut } =
    state;
  return {
    version,
    number,
    document,
    revision,
    site,
    out: [...domainsOut, ...serversOut],
    members: state.members(),
    history: state.history(),
    claims: state.claimCount(),
    result: state.findChangeResult("change0"),
    view: state.viewSince(NO_REVISIONS),
  };
}

test("a state restored from a snapshot equals the original", (t) => {
  const { state, apply, configure } = createTestState();
  configure(site(4));
  apply({
    kind: "register",
    member: createFakeMember("vm1"),
    expectedRevision: 0,
  });
  apply(fakeChange({ force: true }));
  apply({
    kind: "claim",
    key: "k",
    requestHash: "h",
    claimant: "c",
    server: "vm1",
    address: "vm1:1",
    incarnation: "one",
  });
  const restored = createControlState();
  restored.restore(state.snapshot());
  t.same(readAll(restored), readAll(state));
  t.equal(restored.claimCount(), 1);
  restored.reset();
  t.same(readAll(restored), readAll(createControlState()));
  t.end();
});

test("a view contains only the parts newer than a node's revisions", (t) => {
  const { state, configure } = createTestState();
  configure(site(4));
  const first = state.viewSince(NO_REVISIONS);
  t.match(first, { global: { revision: 1 }, routeTable: { revision: 1 } });
  t.equal(first.services.length, 2);

  configure(site(4, 2));
  const known = { global: 1, routes: 1, services: { work: 1, other: 1 } };
  const second = state.viewSince(known);
  t.match(second.global, { revision: 2, version: 2 });
  t.equal(second.routeTable, undefined, "the route table has not changed");
  t.same(second.services.map((one) => one.service), ["other"]);
  t.same(
    state.viewSince({ global: 2, routes: 1, services: { work: 1, other: 2 } }),
    { services: [] },
  );
  t.end();
});

test("a removed service is sent without settings", (t) => {
  const { state, configure } = createTestState();
  configure(site(4));
  const { other: _other, ...services } = site(4).services;
  configure({ ...site(4), services });
  const { services: views } = state.viewSince({
    global: 2,
    routes: 2,
    services: { other: 1 },
  });
  t.match(views, [{ service: "other", revision: 2, settings: undefined }]);
  t.end();
});

test("a refused or conflicting change leaves the state unchanged", (t) => {
  const { state, apply, configure } = createTestState();
  configure(site(4));
  apply({
    kind: "register",
    member: createFakeMember("vm1"),
    expectedRevision: 0,
  });
  t.match(apply(fakeChange()), { kind: "refused", reason: "last_domain" });
  t.match(apply(fakeChange({ changeId: "stale", against: 0 })), {
    kind: "conflict",
    winner: { changeId: "change0" },
  });
  t.match(state, { version: 1, revision: 2 });
  t.equal(state.domainsOut.size, 0);
  t.end();
});

// Guards against an order that control gets late and that undoes one which was
// acknowledged meanwhile, in either direction.
for (
  const [late, newer] of [
    ["domain_back", "domain_out"],
    ["domain_out", "domain_back"],
  ] as const
) {
  test(`a late ${late} does not undo a newer ${newer}`, (t) => {
    const { state, apply, configure } = createTestState();
    configure(site(4));
    const change = (kind: typeof late | typeof newer, changeId: string) =>
      fakeChange({
        changeId,
        force: true,
        action: { kind, domain: "east" },
        domainVersion: state.domainVersion("east"),
      });
    apply(change(newer, "first"));
    const delayed = change(late, "delayed");
    t.match(apply(change(late, "sent again")), { kind: "accepted" });
    t.match(apply(change(newer, "second")), { kind: "accepted" });
    t.match(apply(delayed), {
      kind: "conflict",
      winner: { changeId: "sent again" },
    });
    t.equal(state.domainsOut.has("east"), newer === "domain_out");
    t.match(
      apply(change(late, "third")),
      { kind: "accepted" },
      "one that knows the newest change is accepted",
    );
    t.end();
  });
}

test("a late order is recognized after a snapshot too", (t) => {
  const { state, apply, configure } = createTestState();
  configure(site(4));
  const domainVersion = state.domainVersion("east");
  apply(fakeChange({ force: true }));
  const restored = createControlState();
  restored.restore(state.snapshot());
  t.match(
    restored.apply({
      index: 3,
      logTime: 3,
      command: fakeChange({ changeId: "late", force: true, domainVersion }),
    }),
    { kind: "conflict", winner: { changeId: "one" } },
  );
  t.end();
});

test("orders for different failure domains do not conflict", (t) => {
  const { state, apply, configure } = createTestState();
  configure(site(4));
  const domainVersion = state.domainVersion("west");
  apply(fakeChange({ force: true }));
  const action = { kind: "domain_out", domain: "west" } as const;
  t.match(
    apply(fakeChange({ changeId: "two", force: true, action, domainVersion })),
    { kind: "accepted" },
  );
  t.end();
});
