/**
 * Guards started requests with shorter deadlines first, so clients that retried
 * after a refusal displaced first tries (issue 17).
 */
import { test } from "tap";
import {
  CAPACITY_PER_MS,
  runLoad,
  SERVER_COUNT,
  startBusyWorld,
} from "./busy_world.ts";
import type { CallRecord } from "./world.ts";

test("clients that retry do not displace first tries", async (t) => {
  const world = await startBusyWorld(5);
  const firstTries: CallRecord[] = [];
  let count = 0;
  async function runMixedLoad(forMs: number): Promise<void> {
    const until = world.timer.now() + forMs;
    let [dueFirst, dueRetries] = [0, 0];
    while (world.timer.now() < until) {
      dueFirst += 0.8 * CAPACITY_PER_MS;
      dueRetries += 1.2 * CAPACITY_PER_MS;
      for (; dueFirst >= 1; dueFirst--) {
        firstTries.push(send(1_200));
      }
      for (; dueRetries >= 1; dueRetries--) {
        send(300 + Math.round(600 * world.random.fraction()));
      }
      await world.timer.advance(1);
    }
  }
  function send(timeoutMs: number): CallRecord {
    const via = world.vms[world.random.integer(SERVER_COUNT)].name;
    return world.call({ via, path: `/look/${count++}`, timeoutMs });
  }
  // Guards first measure how many slots they can use within the objective.
  await runLoad(world, { multiple: 0.3, forMs: 1_000 });
  await runMixedLoad(1_000);
  firstTries.length = 0;
  await runMixedLoad(1_000);
  await world.timer.advance(2_000);
  const inTime =
    firstTries.filter(({ reply, startedAt, endedAt }) =>
      reply?.status === 200 && endedAt - startedAt <= 200
    ).length;
  t.ok(
    inTime >= 0.9 * firstTries.length,
    `${inTime} of ${firstTries.length} within the objective`,
  );
});
