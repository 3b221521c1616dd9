/**
 * A world for tests that send frames and calls themselves: few servers, always
 * warm, each with one route to look and one to pay.
 * @module
 */
import { type RoutePolicy, siteSchema } from "../../src/settings/site.ts";
import type { EventLoopLag } from "../../src/time/event_loop_lag.ts";
import { createWorld, SERVICE, type World } from "./world.ts";

const SLOTS = 8;

/** What a small world is made of. */
export interface SmallWorldOptions {
  seed: number;
  servers: number;
  meanMs?: number;
  /** Retries of work that may have run, per request. */
  retryRatio?: number;
  /** Longest wait at a guard, in milliseconds. */
  queueWaitMs?: number;
  /** Requests a second that a cold server gets; else it warms up by trust. */
  coldRatePerS?: number;
  /** Lag of all nodes; none by default. */
  lag?: EventLoopLag;
  /** Whether servers tell their load. */
  reports?: boolean;
  /** Settings of the route to look. */
  look?: Partial<RoutePolicy>;
}

/** Starts a small world and waits until it is ready. */
export async function startSmallWorld(
  options: SmallWorldOptions,
): Promise<World> {
  const { seed, servers, meanMs = 5, retryRatio = 0.1, look } = options;
  const world = createWorld({
    seed,
    servers,
    lag: options.lag,
    site: siteSchema.parse({
      name: "small",
      domains: ["east", "west"],
      retry: { budget_ratio: retryRatio, hedge_budget_ratio: retryRatio },
      services: {
        [SERVICE]: {
          team: "work",
          queue_wait_ms: options.queueWaitMs,
          cold_rate_per_s: options.coldRatePerS,
          cold_ms: options.coldRatePerS && 1,
          slots: options.coldRatePerS && SLOTS,
          routes: {
            look: {
              path: "/look/*",
              class: "look",
              repeatable: true,
              ...look,
            },
            pay: {
              method: "POST",
              path: "/pay/*",
              class: "pay",
              repeatable: false,
            },
          },
        },
      },
    }),
    shape: {
      slots: SLOTS,
      meanMs,
      coldCompletions: 0,
      coldFactor: 1,
      coldBears: 100,
      reports: options.reports,
    },
  });
  await world.begin();
  return world;
}
