import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { fakeMember } from "./fake_member.ts";
import { createLeaseBook } from "./leases.ts";

const LEASE_MS = 5_000;

test("a member that registers late has a whole lease", async (t) => {
  const timer = createFakeTimer();
  const leases = createLeaseBook(timer);
  const [early, late] = [fakeMember("vm1"), fakeMember("vm2")];
  await timer.advance(2 * LEASE_MS);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), []);
  await timer.advance(LEASE_MS + 1);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), [late]);
});

test("the time for which the process was held up counts against no lease", async (t) => {
  const timer = createFakeTimer();
  const leases = createLeaseBook(timer);
  const member = fakeMember("vm1");
  leases.renew([member]);
  await timer.advance(3 * LEASE_MS);
  leases.heldUp(2 * LEASE_MS);
  t.same(leases.expired([member], LEASE_MS), []);
  await timer.advance(1);
  t.same(leases.expired([member], LEASE_MS), [member]);
});
