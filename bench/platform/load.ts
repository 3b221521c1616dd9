/**
 * A steady load of calls on the nodes of a fleet.
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { Agent, request } from "undici";
import { type BundleFleet, ROUTE_HOST } from "./bundle_fleet.ts";

const MS_PER_SECOND = 1_000;
const CONNECTIONS = 64;

/** How the calls of a load ended. */
export interface LoadEnd {
  calls: number;
  failed: number;
}

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

/** Calls all nodes in turn; `rate` is in calls a second at each node. */
export async function load(
  fleet: BundleFleet,
  { rate, seconds }: { rate: number; seconds: number },
): Promise<LoadEnd> {
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 });
  const perSecond = rate * fleet.callers.length;
  const ended: Promise<boolean>[] = [];
  const startedAt = performance.now();
  for (let count = 0; count < perSecond * seconds; count++) {
    const dueAt = startedAt + count * MS_PER_SECOND / perSecond;
    await pause(Math.max(0, dueAt - performance.now()));
    ended.push(call(fleet.callers[count % fleet.callers.length], agent));
  }
  const served = await Promise.all(ended);
  await agent.close();
  return {
    calls: served.length,
    failed: served.filter((one) => !one).length,
  };
}
