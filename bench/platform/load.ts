/**
 * Sends calls to the nodes of a fleet at a steady rate.
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { Agent, request } from "undici";
import { type BundleFleet, ROUTE_HOST } from "./bundle_fleet.ts";

const MS_PER_SECOND = 1_000;
const CONNECTIONS = 64;

/** Number of calls sent, and of those not answered with status 200. */
export interface LoadResult {
  calls: number;
  failed: number;
}

/** Makes a call and returns whether it was answered with status 200. */
async function call(caller: string, agent: Agent): Promise<boolean> {
  try {
    const answer = await request(`http://${caller}/look/7`, {
      dispatcher: agent,
      headers: { host: ROUTE_HOST },
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

/** Calls the nodes in turn, at `rate` calls per second and node. */
export async function generateLoad(
  fleet: BundleFleet,
  { rate, seconds }: { rate: number; seconds: number },
): Promise<LoadResult> {
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const callsPerSecond = rate * fleet.callers.length;
  const calls: Promise<boolean>[] = [];
  const startedAt = performance.now();
  for (let count = 0; count < callsPerSecond * seconds; count++) {
    const dueAt = startedAt + count * MS_PER_SECOND / callsPerSecond;
    await pause(Math.max(0, dueAt - performance.now()));
    calls.push(call(fleet.callers[count % fleet.callers.length], agent));
  }
  const successes = await Promise.all(calls);
  await agent.close();
  return {
    calls: successes.length,
    failed: successes.filter((success) => !success).length,
  };
}
