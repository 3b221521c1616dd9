/**
 * What a sender reads behind the end of its attempt belongs to the next one.
 */
import { test } from "tap";
import { fakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Frame } from "../../src/network/frames.ts";
import { createLocalPair } from "../../src/network/local.ts";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE } from "./world.ts";

const MEAN_MS = 40;
/** Work takes so much longer that many signs of life go before its answer. */
const SLOWNESS = 100;

test("no sign of life follows an answer that is not taken yet", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: MEAN_MS });
  const vm = world.vm("vm1");
  vm.server.slowness = SLOWNESS;
  const [sender, guardEnd] = createLocalPair("vm1:1");
  void vm.node.guard.serve(guardEnd);
  await sender.send(fakeAttempt({
    incarnation: vm.node.guard.incarnation,
    service: SERVICE,
    class: "pay",
    repeatable: false,
    timeLeftMs: 60_000,
    method: "POST",
    path: "/pay/1",
    headers: [["mustardcross-request-id", "slow1"]],
  }));
  // Nothing is read meanwhile, so that the sender of the answer has to wait.
  await world.timer.advance(30_000);

  const kinds: Frame["kind"][] = [];
  void (async () => {
    while (true) {
      const frame = await sender.receive();
      if (!frame) {
        return;
      }
      kinds.push(frame.kind);
    }
  })();
  await world.timer.advance(1_000);
  sender.close();
  t.ok(kinds.length > 16, `${kinds.length} frames: more than may lie unread`);
  t.same(kinds.slice(kinds.indexOf("answer")), ["answer"]);
});
