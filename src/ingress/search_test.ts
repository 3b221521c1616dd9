import { test } from "tap";
import type { Member } from "../control/commands.ts";
import { fakeMember } from "../control/fake_member.ts";
import { createSearch } from "./search.ts";

function searchAmong(members: Member[]) {
  return createSearch((avoid) =>
    members.find((member) => !avoid.has(member.server))
  );
}

test("a request stays where it is sent once three guards turned it away", (t) => {
  const search = searchAmong(["a", "b", "c", "d", "e"].map(fakeMember));
  for (const expected of ["a", "b", "c"]) {
    const place = search.next()!;
    t.same([place.member.server, place.elsewhere], [expected, true]);
    search.turnedAway(place.member);
  }
  const last = search.next()!;
  t.same([last.member.server, last.elsewhere], ["a", false]);
  t.end();
});

test("where all have been asked, those that only preferred not to are left", (t) => {
  const search = searchAmong(["a", "b"].map(fakeMember));
  const first = search.next()!;
  search.turnedAway(first.member);
  t.equal(search.next()!.member.server, "b", "b refuses for good");
  const last = search.next()!;
  t.same([last.member.server, last.elsewhere], ["a", false]);
  t.equal(search.next(), undefined);
  t.end();
});
