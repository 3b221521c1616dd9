/**
 * Guards against a registration that no backend server can make: it is refused
 * with its reason, and the list of members that every node reads is not changed.
 */
import { test } from "tap";
import { createFakeMember } from "../../src/control/fake_member.ts";
import { registerMethod } from "../../src/control/node_methods.ts";
import type { Member } from "../../src/control/commands.ts";
import { createHarness, type Harness } from "./harness.ts";

async function register(harness: Harness, member: Member) {
  const reply = harness.rpc.from("node1").call({
    peer: harness.cluster.leader()!.address,
    method: registerMethod,
    request: { member, expectedRevision: 0 },
    timeoutMs: 1_000,
  });
  await harness.timer.advance(200);
  return await reply;
}

test("an odd registration is refused, and others are accepted", async (t) => {
  const harness = createHarness({ seed: 1 });
  await harness.startCluster();
  const usable = createFakeMember("vm1");
  const odd: Record<string, Partial<Member>> = {
    "address": { address: "10.0.0.1:99999" },
    "slots": { slots: 1e300 },
    "name": { server: "" },
  };
  for (const [reason, fields] of Object.entries(odd)) {
    const reply = await register(harness, { ...usable, ...fields });
    t.match(reply._unsafeUnwrapErr().message, new RegExp(reason));
  }
  t.equal((await register(harness, usable))._unsafeUnwrap().kind, "done");
  const { control } = harness.cluster.leader()!;
  t.same(control.state.members(), [usable]);
});
