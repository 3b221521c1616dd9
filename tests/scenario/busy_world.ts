/**
 * A small world of a few servers that are warm and have an objective to meet,
 * and a load on it that is a multiple of what they can do.
 * @module
 */
import { startSmallWorld } from "./small_world.ts";
import type { CallRecord, World } from "./world.ts";

/** Servers of a busy world. */
export const SERVERS = 5;
const WORK_MS = 60;
/** Calls a millisecond that the servers can do, each with 8 slots. */
export const CAPACITY_PER_MS = SERVERS * 8 / WORK_MS;

/** Starts a busy world. */
export async function startBusyWorld(seed: number): Promise<World> {
  return await startSmallWorld({
    seed,
    servers: SERVERS,
    meanMs: WORK_MS,
    queueWaitMs: 2_000,
    coldRatePerS: 1_000,
    look: { objective_ms: 200, deadline_ms: 1_200 },
  });
}

/** Sends calls at a multiple of what the servers can do. */
export async function load(
  world: World,
  { multiple, forMs }: { multiple: number; forMs: number },
): Promise<CallRecord[]> {
  const calls: CallRecord[] = [];
  const until = world.timer.now() + forMs;
  let due = 0;
  while (world.timer.now() < until) {
    due += multiple * CAPACITY_PER_MS;
    for (; due >= 1; due--) {
      const via = world.vms[calls.length % SERVERS].name;
      calls.push(world.call({ via, path: `/look/${calls.length}` }));
    }
    await world.timer.advance(1);
  }
  return calls;
}
