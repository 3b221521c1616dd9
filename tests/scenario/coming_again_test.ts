/**
 * Callers that came again after a refusal took the places of first tries, since
 * guards put the shorter deadline first (issue 17).
 */
import { test } from "tap";
import {
  CAPACITY_PER_MS,
  load,
  SERVERS,
  startBusyWorld,
} from "./busy_world.ts";
import type { CallRecord } from "./world.ts";

test("callers that come again take no place from those in time", async (t) => {
  const world = await startBusyWorld(5);
  const first: CallRecord[] = [];
  let count = 0;
  async function play(forMs: number): Promise<void> {
    const until = world.timer.now() + forMs;
    let [dueFirst, dueAgain] = [0, 0];
    while (world.timer.now() < until) {
      dueFirst += 0.8 * CAPACITY_PER_MS;
      dueAgain += 1.2 * CAPACITY_PER_MS;
      for (; dueFirst >= 1; dueFirst--) {
        first.push(send(1_200));
      }
      for (; dueAgain >= 1; dueAgain--) {
        send(300 + Math.round(600 * world.random.fraction()));
      }
      await world.timer.advance(1);
    }
  }
  function send(timeoutMs: number): CallRecord {
    const via = world.vms[world.random.integer(SERVERS)].name;
    return world.call({ via, path: `/look/${count++}`, timeoutMs });
  }
  // Guards learn first how many places are worth filling.
  await load(world, { multiple: 0.3, forMs: 1_000 });
  await play(1_000);
  first.length = 0;
  await play(1_000);
  await world.timer.advance(2_000);
  const inTime =
    first.filter(({ reply, startedAt, endedAt }) =>
      reply?.status === 200 && endedAt - startedAt <= 200
    ).length;
  t.ok(inTime >= 0.9 * first.length, `${inTime} of ${first.length} in time`);
});
