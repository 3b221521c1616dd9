import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFakeMember } from "./fake_member.ts";
import { createLeaseTable } from "./leases.ts";

const LEASE_MS = 5_000;

test("a member that registers later than others gets a full lease", async (t) => {
  const timer = createFakeTimer();
  const leases = createLeaseTable(timer);
  const [early, late] = [createFakeMember("vm1"), createFakeMember("vm2")];
  await timer.advance(2 * LEASE_MS);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), []);
  await timer.advance(LEASE_MS + 1);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), [late]);
});

test("leases are extended by the time for which the process stalled", async (t) => {
  const timer = createFakeTimer();
  const leases = createLeaseTable(timer);
  const member = createFakeMember("vm1");
  leases.renew([member]);
  await timer.advance(3 * LEASE_MS);
  leases.extendAll(2 * LEASE_MS);
  t.same(leases.expired([member], LEASE_MS), []);
  await timer.advance(1);
  t.same(leases.expired([member], LEASE_MS), [member]);
});
