/**
 * A replica's identity, VM and address, for tests.
 * @module
 */
import type { ReplicaInfo } from "./log_store.ts";

/** Returns a replica on its own VM. */
export function fakeReplica(vm: string, identity = vm): ReplicaInfo {
  return { identity, vm, address: `${vm}:1` };
}
