/**
 * A guard's suspicions at control: reports of crashes and of suspects that were
 * cleared, and what control keeps of them for guards that start or that missed
 * the message of another guard.
 * @module
 */
import {
  MAX_FINGERPRINTS_PER_CRASH,
  type ServiceSuspects,
  type SuspicionReport,
} from "../control/suspicions.ts";
import { reportSuspicionsMethod } from "../control/node_methods.ts";
import { sleep, type Subscription, type Timer } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";

/** The suspects that a node knows: those of one service up to a revision. */
export interface KnownSuspects {
  service: string;
  revision: number;
}

/** Reports of suspicions to control. */
export interface SuspicionReports {
  /** Returns the suspects that this node knows, once it serves a service. */
  known(): KnownSuspects | undefined;
  /** Notes the suspects that control has sent. */
  noteReceived(received: ServiceSuspects): void;
  /** Reports a crash as soon as possible. */
  reportCrash(crash: string, fingerprints: readonly string[]): void;
  /** Reports some time later that a suspect was cleared. */
  reportCleared(fingerprint: string): void;
  /** Stops reporting; what was not reported is dropped. */
  stop(): void;
}

/** Options of {@link createSuspicionReports}. */
export interface SuspicionReportsOptions {
  client: ControlClient;
  timer: Timer;
  /** Returns the service of this VM; empty until it is known. */
  service: () => string;
}

/** Time for which cleared suspects are collected, in milliseconds. */
const CLEARED_DELAY_MS = 1_000;
/** Limit of one attempt to report; what is not reported is kept. */
const REPORT_TIMEOUT_MS = 5_000;
/** Pause after an attempt that failed, in milliseconds. */
const RETRY_DELAY_MS = 500;
/** Most crashes, and most cleared suspects, that wait to be reported. */
const MAX_WAITING = 256;

/** Creates reports without anything to report. */
export function createSuspicionReports(
  options: SuspicionReportsOptions,
): SuspicionReports {
  const { client, timer, service } = options;
  let received: KnownSuspects = { service: "", revision: 0 };
  let crashes: SuspicionReport["crashes"] = [];
  let cleared: string[] = [];
  let timeout: Subscription | undefined;
  let sending = false;
  let stopped = false;

  function isEmpty(): boolean {
    return crashes.length === 0 && cleared.length === 0;
  }

  /** Keeps a report that failed, up to a limit, the newest parts first. */
  function putBack(report: Omit<SuspicionReport, "service">): void {
    crashes = [...report.crashes, ...crashes].slice(-MAX_WAITING);
    cleared = [...report.cleared, ...cleared].slice(-MAX_WAITING);
  }

  async function sendOnce(): Promise<boolean> {
    const report = { crashes, cleared };
    crashes = [];
    cleared = [];
    const result = await client.callLeader(reportSuspicionsMethod, {
      request: { service: service(), ...report },
      deadlineAt: timer.now() + REPORT_TIMEOUT_MS,
    });
    if (result === undefined) {
      putBack(report);
    }
    return result !== undefined;
  }

  async function sendAll(): Promise<void> {
    if (sending) {
      return;
    }
    sending = true;
    while (!stopped && !isEmpty()) {
      if (!await sendOnce()) {
        await sleep(timer, RETRY_DELAY_MS);
      }
    }
    sending = false;
  }

  /** Sends what waits after a delay, or earlier if that is scheduled. */
  function schedule(delayMs: number): void {
    if (delayMs > 0 && timeout) {
      return;
    }
    timeout?.cancel();
    timeout = timer.after(delayMs, () => {
      timeout = undefined;
      void sendAll();
    });
  }

  return {
    known() {
      const name = service();
      if (name === "") {
        return undefined;
      }
      return received.service === name
        ? received
        : { service: name, revision: 0 };
    },
    noteReceived({ service: name, revision }) {
      received = { service: name, revision };
    },
    reportCrash(crash, fingerprints) {
      crashes.push({
        crash,
        fingerprints: fingerprints.slice(0, MAX_FINGERPRINTS_PER_CRASH),
      });
      schedule(0);
    },
    reportCleared(fingerprint) {
      cleared.push(fingerprint);
      schedule(CLEARED_DELAY_MS);
    },
    stop() {
      stopped = true;
      timeout?.cancel();
    },
  };
}
