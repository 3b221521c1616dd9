/**
 * How many requests a backend server may run, and how soon after each other they
 * may start: its warm-up, and the rate that the server itself names.
 * @module
 */
import type { Service } from "../settings/site.ts";
import type { Timer } from "../time/timer.ts";
import { createColdRamp, type RampLimits } from "./cold_ramp.ts";
import { createColdRate } from "./cold_rate.ts";
import { createRequestLimit, type RequestLimit } from "./request_limit.ts";
import type { Warmup } from "./warmup.ts";

/** Options of {@link createServerRates}. */
export interface ServerRatesOptions {
  timer: Timer;
  /** Returns the settings of the server's service, once they are known. */
  settings: () => Service | undefined;
  /** Returns the number of slots that can be used at present. */
  usableSlots: () => number;
  /**
   * Returns the share of a cold server's rate that no earlier guard can have
   * used in the second before this one started.
   */
  unusedShare: () => number;
}

/** Rates at which a backend server takes requests. */
export interface ServerRates {
  /**
   * The warm-up that applies at present: by rate if the settings name a cold
   * rate, else the ramp. Its pauses include those of the limit.
   */
  readonly warmup: Warmup;
  /** Whether the ramp, used or not, is cold. */
  readonly rampCold: boolean;
  readonly limit: RequestLimit;
  /**
   * Returns how many requests the server can run at once in the long run, given
   * the average time of one; a fraction if its limit allows less than one.
   */
  sustained(slotTimeMs: number): number;
  /** Applies the report of how long the server stays cold. */
  noteCold(coldMs: number): void;
  /** Applies the settings of the service. */
  setService(service: Service): void;
}

/** Time for which a new server counts as cold if the settings name none. */
const DEFAULT_COLD_MS = 3_000;

const UNSET_RAMP: RampLimits = {
  coldLimit: 1,
  slots: 1,
  completionsPerSlot: 1,
  slowFactor: 1,
};

/** Adds the pauses of a limit to those of a warm-up. */
function withLimit(warmup: Warmup, limit: RequestLimit): Warmup {
  return {
    get allowed() {
      return warmup.allowed;
    },
    get cold() {
      return warmup.cold;
    },
    get pauseMs() {
      return Math.max(warmup.pauseMs, limit.pauseMs);
    },
    get startIntervalMs() {
      return limit.intervalMs;
    },
    started() {
      warmup.started();
      limit.started();
    },
    complete: warmup.complete,
    reset: warmup.reset,
    noteCold: warmup.noteCold,
  };
}

/** Creates the rates of a server that nothing is known of yet. */
export function createServerRates(options: ServerRatesOptions): ServerRates {
  const { timer, settings } = options;
  const limit = createRequestLimit(timer);
  const ramp = createColdRamp(UNSET_RAMP);
  const coldRate = createColdRate(
    timer,
    () => ({
      perSecond: settings()?.cold_rate_per_s ?? 1,
      coldMs: settings()?.cold_ms ?? DEFAULT_COLD_MS,
      slots: options.usableSlots(),
    }),
    timer.now(),
    options.unusedShare,
  );
  const limitedRamp = withLimit(ramp, limit);
  const limitedColdRate = withLimit(coldRate, limit);

  function currentWarmup(): Warmup {
    return settings()?.cold_rate_per_s === undefined
      ? limitedRamp
      : limitedColdRate;
  }

  return {
    get warmup() {
      return currentWarmup();
    },
    get rampCold() {
      return ramp.cold;
    },
    limit,
    sustained(slotTimeMs) {
      const { allowed } = currentWarmup();
      return limit.intervalMs === 0
        ? allowed
        : Math.min(allowed, slotTimeMs / limit.intervalMs);
    },
    noteCold: coldRate.noteCold,
    setService: (service) =>
      ramp.setLimits({
        coldLimit: service.cold_limit,
        slots: service.slots,
        completionsPerSlot: service.ramp_completions,
        slowFactor: service.slow_factor,
      }),
  };
}
