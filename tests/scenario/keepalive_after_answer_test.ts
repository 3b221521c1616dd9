/**
 * A channel carries one attempt after another: a keepalive that follows an
 * attempt's answer would be read as part of the next attempt.
 */
import { test } from "tap";
import { createFakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Frame } from "../../src/network/frames.ts";
import { createLocalChannelPair } from "../../src/network/local.ts";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE } from "./world.ts";

const MEAN_MS = 40;
/** Makes the work so slow that many keepalives precede its answer. */
const SLOWNESS = 100;

test("no keepalive follows an answer that has not been read yet", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: MEAN_MS });
  const vm = world.vm("vm1");
  vm.server.slowness = SLOWNESS;
  const [sender, guardEnd] = createLocalChannelPair("vm1:1");
  void vm.node.guard.serve(guardEnd);
  await sender.send(createFakeAttempt({
    incarnation: vm.node.guard.incarnation,
    service: SERVICE,
    class: "pay",
    repeatable: false,
    timeLeftMs: 60_000,
    method: "POST",
    path: "/pay/1",
    headers: [["mustardcross-request-id", "slow1"]],
  }));
  // Nothing is read meanwhile, so the guard has to wait to send the answer.
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
  t.ok(
    kinds.length > 16,
    `${kinds.length} frames are more than may stay unread`,
  );
  t.same(kinds.slice(kinds.indexOf("answer")), ["answer"]);
});
