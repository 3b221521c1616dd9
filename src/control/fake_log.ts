/**
 * A replica's log on an in-memory disk, for tests.
 * @module
 */
import { prepareHashes } from "../core/hash.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createLogStore, type Membership } from "./log_store.ts";
import type { StateMachine } from "./machine.ts";
import { createReplicaLog, type ReplicaLog } from "./replica_log.ts";

// Checksums of the first record already need the hash functions.
await prepareHashes();

/** A state machine without state. */
export const nullMachine: StateMachine = {
  apply: () => undefined,
  snapshot: () => new Uint8Array([1, 2, 3, 4]),
  reset: () => {},
  restore: () => {},
};

/** A listener that ignores all changes. */
export const NO_LISTENER = {
  durable: () => {},
  applied: () => {},
  failed: () => {},
};

/** Opens a log on an empty disk; a membership becomes its first entry. */
export async function openFakeLog(options: {
  machine?: StateMachine;
  membership?: Membership;
  snapshotEvery?: number;
} = {}): Promise<ReplicaLog> {
  const { machine = nullMachine, membership, snapshotEvery = 100 } = options;
  const store = createLogStore(createFakeDisk());
  const log = createReplicaLog({
    store,
    machine,
    recovered: await store.recover(),
    snapshotEvery,
    listener: NO_LISTENER,
  });
  if (membership) {
    await log.accept([{ index: 1, term: 0, logTime: 0, membership }]);
    log.commitTo(1);
  }
  return log;
}
