/**
 * A small world of warm servers whose route has a latency objective, and load at
 * a multiple of the servers' capacity.
 * @module
 */
import { startSmallWorld } from "./small_world.ts";
import type { CallRecord, World } from "./world.ts";

/** Number of servers in a busy world. */
export const SERVER_COUNT = 5;
const MEAN_WORK_MS = 60;
/** Calls per millisecond that the servers can run, each with 8 slots. */
export const CAPACITY_PER_MS = SERVER_COUNT * 8 / MEAN_WORK_MS;

/** Starts a busy world and waits until it is ready. */
export async function startBusyWorld(seed: number): Promise<World> {
  return await startSmallWorld({
    seed,
    servers: SERVER_COUNT,
    meanMs: MEAN_WORK_MS,
    queueWaitMs: 2_000,
    coldRatePerS: 1_000,
    look: { objective_ms: 200, deadline_ms: 1_200 },
  });
}

/** Sends calls at a multiple of the servers' capacity. */
export async function runLoad(
  world: World,
  { multiple, forMs }: { multiple: number; forMs: number },
): Promise<CallRecord[]> {
  const calls: CallRecord[] = [];
  const until = world.timer.now() + forMs;
  let dueCalls = 0;
  while (world.timer.now() < until) {
    dueCalls += multiple * CAPACITY_PER_MS;
    for (; dueCalls >= 1; dueCalls--) {
      const via = world.vms[calls.length % SERVER_COUNT].name;
      calls.push(world.call({ via, path: `/look/${calls.length}` }));
    }
    await world.timer.advance(1);
  }
  return calls;
}
