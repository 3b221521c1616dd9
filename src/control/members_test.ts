import { test } from "tap";
import { createFakeMember } from "./fake_member.ts";
import { createMemberRegistry } from "./members.ts";
import { createRevisions } from "./revisions.ts";

function build() {
  const revisions = createRevisions({
    revision: 0,
    globalRevision: 0,
    routesRevision: 0,
    serviceRevisions: [],
  });
  return {
    revisions,
    members: createMemberRegistry({ members: [] }, revisions),
  };
}

test("another incarnation must name the revision of the member it replaces", (t) => {
  const { members } = build();
  const first = createFakeMember("vm1");
  members.register(first, { expectedRevision: 0, index: 5 });
  const second = { ...first, incarnation: "two" };
  t.same(members.register(second, { expectedRevision: 0, index: 6 }), {
    kind: "superseded",
    revision: 5,
    incarnation: "one",
  });
  t.match(members.register(second, { expectedRevision: 5, index: 7 }), {
    kind: "registered",
    revision: 7,
  });
  t.equal(members.all.get("vm1")?.incarnation, "two");
  t.end();
});

test("a member that changes its service updates the views of both services", (t) => {
  const { members, revisions } = build();
  members.register(createFakeMember("vm1"), { expectedRevision: 0, index: 5 });
  const moved = { ...createFakeMember("vm1"), service: "other" };
  members.register(moved, { expectedRevision: 0, index: 6 });
  t.equal(revisions.service("work"), 6);
  t.equal(revisions.service("other"), 6);
  t.equal(revisions.latest, 6);
  t.end();
});

test("a late expiry of an earlier incarnation removes no member", (t) => {
  const { members, revisions } = build();
  members.register(createFakeMember("vm1"), { expectedRevision: 0, index: 5 });
  const earlier = { server: "vm1", incarnation: "zero" };
  t.notOk(members.expire(earlier, 6));
  t.equal(revisions.latest, 5);
  t.ok(members.expire({ server: "vm1", incarnation: "one" }, 7));
  t.equal(members.all.size, 0);
  t.equal(revisions.service("work"), 7);
  t.end();
});

// Guards against a registration that overtakes the leave of the same boot and
// would return the server to service.
test("a late registration does not undo a departure", (t) => {
  const { members, revisions } = build();
  const member = createFakeMember("vm1");
  const departure = { kind: "boot", boot: member.boot } as const;
  members.register(member, { expectedRevision: 0, index: 5 });
  members.depart({ server: "vm1", departure }, { index: 6, logTime: 6 });
  t.ok(members.all.get("vm1")?.leaving);
  t.equal(revisions.service("work"), 6, "nodes hear of it");
  members.register(member, { expectedRevision: 0, index: 7 });
  t.ok(members.all.get("vm1")?.leaving, "a late copy while it is registered");
  members.expire({ server: "vm1", incarnation: "one" }, 8);
  members.register(member, { expectedRevision: 0, index: 9 });
  t.ok(members.all.get("vm1")?.leaving, "a late copy after it was removed");
  const next = { ...member, boot: "next" };
  members.register(next, { expectedRevision: 0, index: 10 });
  t.notOk(members.all.get("vm1")?.leaving, "another boot is in service");
  t.end();
});
