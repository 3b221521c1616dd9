import { test } from "tap";
import type { Member } from "../control/commands.ts";
import { fakeMember } from "../control/fake_member.ts";
import { createSearch } from "./search.ts";

function searchAmong(members: Member[]) {
  return createSearch({
    choose: (avoid) => members.find((member) => !avoid.has(member.server)),
  });
}

test("after three guards a request goes to the one with the shortest wait", (t) => {
  const search = searchAmong(["a", "b", "c", "d", "e"].map(fakeMember));
  const waits = { a: 120, b: 30, c: 60 };
  for (const [expected, waitMs] of Object.entries(waits)) {
    const place = search.next()!;
    t.same([place.member.server, place.elsewhere], [expected, true]);
    search.turnedAway(place.member, waitMs);
  }
  for (const expected of ["b", "c", "a"]) {
    const place = search.next()!;
    t.same([place.member.server, place.elsewhere], [expected, false]);
  }
  t.equal(search.next(), undefined, "it has asked often enough");
  t.end();
});

test("where all have been asked, those that only preferred not to are left", (t) => {
  const search = searchAmong(["a", "b"].map(fakeMember));
  const first = search.next()!;
  search.turnedAway(first.member, 50);
  t.equal(search.next()!.member.server, "b", "b refuses for good");
  const last = search.next()!;
  t.same([last.member.server, last.elsewhere], ["a", false]);
  t.equal(search.next(), undefined);
  t.end();
});

function searchOfFull(members: Member[], waits: Record<string, number>) {
  return createSearch({
    choose: (avoid) => members.find((member) => !avoid.has(member.server)),
    outlook(avoid) {
      const open = members.filter((member) => !avoid.has(member.server));
      const [best] = open.sort((one, other) =>
        waits[one.server] - waits[other.server]
      );
      return {
        allKnown: open.length > 0,
        firstFree: best && { member: best, waitMs: waits[best.server] },
      };
    },
  });
}

test("of guards known to be full, two at most are asked, and must decide", (t) => {
  const members = ["a", "b", "c", "d"].map(fakeMember);
  const search = searchOfFull(members, { a: 90, b: 30, c: 60, d: 70 });
  const places = [search.next()!, search.next()!];
  t.same(
    places.map(({ member, elsewhere, last }) => [
      member.server,
      elsewhere,
      last,
    ]),
    [["b", false, false], ["c", false, true]],
  );
  t.end();
});

test("a guard that may have room is asked, then a full one must decide", (t) => {
  const [free, ...full] = ["a", "b", "c"].map(fakeMember);
  const search = createSearch({
    choose: (avoid) => [free, ...full].find((one) => !avoid.has(one.server)),
    outlook(avoid) {
      const open = full.filter((one) => !avoid.has(one.server));
      return avoid.has(free.server) && open.length > 0
        ? { allKnown: true, firstFree: { member: open[0], waitMs: 50 } }
        : { allKnown: open.length > 0 };
    },
  });
  const first = search.next()!;
  t.same([first.member.server, first.elsewhere], ["a", true], "it may fail");
  search.turnedAway(first.member, 60);
  const second = search.next()!;
  t.same(
    [second.member.server, second.elsewhere, second.last],
    ["b", false, true],
  );
  t.end();
});
