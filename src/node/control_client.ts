/**
 * A node's calls to control. View updates are requested from any replica;
 * everything else is sent to the leader.
 * @module
 */
import type { LeaderReply } from "../control/node_methods.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";

/** Calls to control. */
export interface ControlClient {
  /** Addresses of all replicas, beginning with the one to ask first. */
  addresses(): string[];
  /** Selects the next replica for view updates. */
  selectNextReplica(): void;
  /** Sets the addresses of the current replicas. */
  updateReplicas(addresses: readonly string[]): void;
  /** Replaces the seed addresses when the settings change. */
  setSeedAddresses(addresses: readonly string[]): void;
  /** Sets the address of the replica that is reported to lead. */
  updateLeader(address: string): void;
  /**
   * Calls the leader and retries at other replicas until the deadline. Returns
   * `undefined` if no leader answered by then. The leader may receive a request
   * twice, so the command has to be idempotent.
   */
  callLeader<Q, T>(
    method: Method<Q, LeaderReply<T>>,
    call: { request: Q; deadlineAt: number },
  ): Promise<T | undefined>;
}

/** Options of {@link createControlClient}. */
export interface ControlClientOptions {
  rpc: Rpc;
  timer: Timer;
  /** Seed addresses of some or all replicas. */
  addresses: readonly string[];
  /** Index of the address to call first; random, to spread the nodes' calls. */
  firstIndex: number;
}

const CALL_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 100;

/** Creates a client of control. */
export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const { rpc, timer } = options;
  let seedAddresses = options.addresses;
  let replicas: readonly string[] = [];
  let addresses = seedAddresses;
  let current = options.firstIndex % addresses.length;
  let leader = "";

  /** Orders the current replicas before the seed addresses. */
  function mergeAddresses(): void {
    const asked = addresses[current];
    addresses = [...new Set([...replicas, ...seedAddresses])];
    current = Math.max(0, addresses.indexOf(asked));
  }

  function addressesInOrder(): string[] {
    return [...addresses.slice(current), ...addresses.slice(0, current)];
  }

  return {
    addresses: addressesInOrder,
    selectNextReplica() {
      current = (current + 1) % addresses.length;
    },
    updateReplicas(next) {
      if (next.join() !== replicas.join()) {
        replicas = next;
        mergeAddresses();
      }
    },
    setSeedAddresses(next) {
      seedAddresses = next;
      mergeAddresses();
    },
    updateLeader(address) {
      leader = address;
    },
    async callLeader(method, { request, deadlineAt }) {
      let tries = 0;
      while (timer.now() < deadlineAt) {
        const peer = leader || addresses[tries++ % addresses.length];
        const remainingMs = deadlineAt - timer.now();
        const reply = await rpc.call({
          peer,
          method,
          request,
          timeoutMs: Math.min(CALL_TIMEOUT_MS, remainingMs),
        });
        if (reply.isOk() && reply.value.kind === "done") {
          leader = peer;
          return reply.value.value;
        }
        const hint = reply.isOk() && reply.value.kind !== "done"
          ? reply.value.leader
          : "";
        leader = hint === peer ? "" : hint;
        if (!leader) {
          await sleep(timer, RETRY_DELAY_MS);
        }
      }
      return undefined;
    },
  };
}
