import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLeaderContact } from "./leader_contact.ts";

test("silence is measured from the last contact with a leader or the last vote", async (t) => {
  const timer = createFakeTimer();
  const contact = createLeaderContact(timer);
  t.equal(contact.silenceMs(), Infinity);
  t.equal(contact.address, "");
  contact.recordContact(fakeReplica("a"));
  await timer.advance(5);
  t.equal(contact.silenceMs(), 5);
  t.equal(contact.address, "a:1");
  contact.recordVote();
  t.equal(contact.silenceMs(), 0);
  t.equal(contact.address, "a:1", "the candidate does not lead yet");
});

test("starting to lead does not count as contact with a leader", (t) => {
  const contact = createLeaderContact(createFakeTimer());
  contact.lead(fakeReplica("b"));
  t.equal(contact.address, "b:1");
  t.equal(contact.silenceMs(), Infinity);
  t.end();
});
