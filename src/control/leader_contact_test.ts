import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLeaderContact } from "./leader_contact.ts";

test("silence lasts since a leader was heard or a vote was given", async (t) => {
  const timer = createFakeTimer();
  const contact = createLeaderContact(timer);
  t.equal(contact.silenceMs(), Infinity);
  t.equal(contact.address, "");
  contact.heard(fakeReplica("a"));
  await timer.advance(5);
  t.equal(contact.silenceMs(), 5);
  t.equal(contact.address, "a:1");
  contact.awaitCandidate();
  t.equal(contact.silenceMs(), 0);
  t.equal(contact.address, "a:1", "the candidate does not lead yet");
});

test("to lead is no sign of another leader", (t) => {
  const contact = createLeaderContact(createFakeTimer());
  contact.lead(fakeReplica("b"));
  t.equal(contact.address, "b:1");
  t.equal(contact.silenceMs(), Infinity);
  t.end();
});
