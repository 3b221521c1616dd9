/**
 * A replica's name and place for tests.
 * @module
 */
import type { ReplicaInfo } from "./log_store.ts";

/** Returns a replica on a VM of its own. */
export function fakeReplica(vm: string, identity = vm): ReplicaInfo {
  return { identity, vm, address: `${vm}:1` };
}
