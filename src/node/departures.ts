/**
 * What a node knows of backend servers of its VM that have left. It is recorded
 * with control, so that it also binds the next process of this node.
 * @module
 */
import type { Departure } from "../control/departures.ts";
import { departMethod } from "../control/node_methods.ts";
import type { Timer } from "../time/timer.ts";
import { createCondition } from "../core/tasks.ts";
import type { ControlClient } from "./control_client.ts";

/** Departures from this VM. */
export interface Departures {
  /**
   * Whether control has told what has left before. Until then, no announcement
   * may be accepted: its server may have left.
   */
  readonly known: boolean;
  /** Waits until the departures are known; resolves with whether they are. */
  waitUntilKnown(timeoutMs: number): Promise<boolean>;
  /** Applies the departures that control has recorded. */
  learn(recorded: readonly Departure[]): void;
  /**
   * Applies a departure and has control record it. Resolves with whether it is
   * recorded, which it may be later too if it is not in time. A departure that
   * is recorded already needs no call.
   */
  record(departure: Departure): Promise<boolean>;
}

/** Options of {@link createDepartures}. */
export interface DeparturesOptions {
  vm: string;
  client: ControlClient;
  timer: Timer;
  /** Called for each departure, whoever tells of it. */
  onDeparture: (departure: Departure) => void;
}

const RECORD_TIMEOUT_MS = 5_000;
/** Departures that are known to be recorded; older ones are recorded again. */
const MAX_RECORDED = 64;

/** Creates departures that are not known yet. */
export function createDepartures(options: DeparturesOptions): Departures {
  const { vm, client, timer, onDeparture } = options;
  const becameKnown = createCondition(timer);
  const recorded = new Set<string>();
  /** Calls to control by departure, so that a resend joins the first one. */
  const pending = new Map<string, Promise<boolean>>();
  let known = false;

  function noteRecorded(key: string): void {
    recorded.add(key);
    if (recorded.size > MAX_RECORDED) {
      recorded.delete(recorded.values().next().value!);
    }
  }

  async function callControl(
    key: string,
    departure: Departure,
  ): Promise<boolean> {
    try {
      const result = await client.callLeader(departMethod, {
        request: { server: vm, departure },
        deadlineAt: timer.now() + RECORD_TIMEOUT_MS,
      });
      if (result) {
        noteRecorded(key);
      }
      return result ?? false;
    } finally {
      pending.delete(key);
    }
  }

  return {
    get known() {
      return known;
    },
    async waitUntilKnown(timeoutMs) {
      if (!known) {
        await becameKnown.wait(timeoutMs);
      }
      return known;
    },
    learn(departures) {
      for (const departure of departures) {
        noteRecorded(JSON.stringify(departure));
        onDeparture(departure);
      }
      known = true;
      becameKnown.notifyAll();
    },
    async record(departure) {
      onDeparture(departure);
      const key = JSON.stringify(departure);
      if (recorded.has(key)) {
        return true;
      }
      const call = pending.get(key) ?? callControl(key, departure);
      pending.set(key, call);
      return await call;
    },
  };
}
