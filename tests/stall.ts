/**
 * Stalls this process: its event loop is blocked until the clients in a worker
 * thread have written to its sockets and closed their connections.
 * @module
 */
import { Worker } from "node:worker_threads";
import {
  type ClientGroup,
  CLIENTS_READY,
  type ClientThreadData,
  NEVER_SET,
  STALL_STARTED,
  WRITES_DONE,
} from "./stall_clients.ts";
import { eventually } from "./processes.ts";

/**
 * Longer than the 500 ms after which requests of callers that have left must
 * not reach a server.
 */
const DEFAULT_STALL_MS = 600;
const FLAG_COUNT = 4;

/** Options of {@link stallProcess}. */
export interface StallOptions {
  groups: ClientGroup[];
  /** Shortest duration of the stall, in milliseconds. */
  stallMs?: number;
  /** Runs once the clients are ready; the stall begins when it resolves. */
  before?: () => Promise<void>;
}

/**
 * Stalls this thread while the clients write. Resolves with the data received by
 * those that stayed.
 */
export async function stallProcess(
  { groups, stallMs = DEFAULT_STALL_MS, before }: StallOptions,
): Promise<string[]> {
  const flags = new SharedArrayBuffer(
    FLAG_COUNT * Int32Array.BYTES_PER_ELEMENT,
  );
  const flagsView = new Int32Array(flags);
  const worker = new Worker(new URL("./stall_clients.js", import.meta.url), {
    workerData: { groups, flags } satisfies ClientThreadData,
  });
  const received = new Promise<string[]>((resolve, reject) => {
    worker.once("message", resolve);
    worker.once("error", reject);
  });
  await eventually(
    "the clients are ready",
    () => Atomics.load(flagsView, CLIENTS_READY) === 1,
  );
  await before?.();
  const stalledAt = performance.now();
  Atomics.store(flagsView, STALL_STARTED, 1);
  Atomics.notify(flagsView, STALL_STARTED);
  Atomics.wait(flagsView, WRITES_DONE, 0);
  const remainingMs = stallMs - (performance.now() - stalledAt);
  if (remainingMs > 0) {
    Atomics.wait(flagsView, NEVER_SET, 0, remainingMs);
  }
  const responses = await received;
  await worker.terminate();
  return responses;
}
