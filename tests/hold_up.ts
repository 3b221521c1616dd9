/**
 * Holds this process up while a thread of clients writes to its sockets and
 * leaves: its event loop doesn't turn until all of them have.
 * @module
 */
import { Worker } from "node:worker_threads";
import {
  DONE,
  GO,
  type Group,
  type HeldCallersData,
  NEVER,
  READY,
} from "./held_callers.ts";
import { eventually } from "./processes.ts";

/** Usual hold-up; over the half second after which a leaving binds. */
const HOLD_MS = 600;
const FLAGS = 4;

/** How a hold-up goes. */
export interface HoldUp {
  groups: Group[];
  /** Shortest length in milliseconds. */
  holdMs?: number;
  /** Is waited for first, and ends right before the hold-up. */
  before?: () => Promise<void>;
}

/**
 * Runs the clients' part while this thread stands still. Resolves with what
 * those that stayed received.
 */
export async function holdUp(
  { groups, holdMs = HOLD_MS, before }: HoldUp,
): Promise<string[]> {
  const flags = new SharedArrayBuffer(FLAGS * Int32Array.BYTES_PER_ELEMENT);
  const shared = new Int32Array(flags);
  const worker = new Worker(new URL("./held_callers.js", import.meta.url), {
    workerData: { groups, flags } satisfies HeldCallersData,
  });
  const received = new Promise<string[]>((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
  await eventually(
    "the clients are ready",
    () => Atomics.load(shared, READY) === 1,
  );
  await before?.();
  const heldAt = performance.now();
  Atomics.store(shared, GO, 1);
  Atomics.notify(shared, GO);
  Atomics.wait(shared, DONE, 0);
  const restMs = holdMs - (performance.now() - heldAt);
  if (restMs > 0) {
    Atomics.wait(shared, NEVER, 0, restMs);
  }
  const texts = await received;
  await worker.terminate();
  return texts;
}
