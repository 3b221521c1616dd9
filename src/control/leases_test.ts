import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import type { Member } from "./commands.ts";
import { createLeaseBook } from "./leases.ts";

const LEASE_MS = 5_000;

function memberNamed(server: string): Member {
  return {
    server,
    service: "work",
    domain: "east",
    region: "default",
    address: `${server}:1`,
    incarnation: "one",
    boot: "boot",
    slots: 8,
    leaving: false,
  };
}

test("a member that registers late has a whole lease", async (t) => {
  const timer = createFakeTimer();
  const leases = createLeaseBook(timer);
  const [early, late] = [memberNamed("vm1"), memberNamed("vm2")];
  await timer.advance(2 * LEASE_MS);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), []);
  await timer.advance(LEASE_MS + 1);
  leases.renew([early]);
  t.same(leases.expired([early, late], LEASE_MS), [late]);
});
