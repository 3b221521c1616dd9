/**
 * A node's calls to control: any replica for news, the leader for the rest.
 * @module
 */
import type { LeaderReply } from "../control/node_methods.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";

/** Calls to control. */
export interface ControlClient {
  /** Addresses of all replicas, beginning with the one to ask first. */
  addresses(): string[];
  /** Moves on to another replica for news. */
  skipReplica(): void;
  /** Takes over which replicas there are at present. */
  noteReplicas(addresses: readonly string[]): void;
  /** Takes over addresses at which to begin, from changed settings. */
  setSeeds(addresses: readonly string[]): void;
  /** Takes over a hint about who leads. */
  noteLeader(address: string): void;
  /**
   * Calls the leader, and tries again elsewhere until the deadline. A request
   * may arrive twice, so only commands that allow it are sent this way.
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
  /** Addresses of some or all replicas, to begin with. */
  addresses: readonly string[];
  /** Index of the replica to ask first, so that nodes spread. */
  first: number;
}

const CALL_TIMEOUT_MS = 700;
const RETRY_PAUSE_MS = 100;

/** Creates a client of control. */
export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const { rpc, timer } = options;
  let seeds = options.addresses;
  let replicas: readonly string[] = [];
  let addresses = seeds;
  let current = options.first % addresses.length;
  let leader = "";

  /** Asks replicas that are known to exist first, and seeds after them. */
  function refresh(): void {
    const asked = addresses[current];
    addresses = [...new Set([...replicas, ...seeds])];
    current = Math.max(0, addresses.indexOf(asked));
  }

  function rotated(): string[] {
    return [...addresses.slice(current), ...addresses.slice(0, current)];
  }

  return {
    addresses: rotated,
    skipReplica() {
      current = (current + 1) % addresses.length;
    },
    noteReplicas(next) {
      if (next.join() !== replicas.join()) {
        replicas = next;
        refresh();
      }
    },
    setSeeds(next) {
      seeds = next;
      refresh();
    },
    noteLeader(address) {
      leader = address;
    },
    async callLeader(method, { request, deadlineAt }) {
      let turn = 0;
      while (timer.now() < deadlineAt) {
        const peer = leader || addresses[turn++ % addresses.length];
        const left = deadlineAt - timer.now();
        const reply = await rpc.call({
          peer,
          method,
          request,
          timeoutMs: Math.min(CALL_TIMEOUT_MS, left),
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
          await sleep(timer, RETRY_PAUSE_MS);
        }
      }
      return undefined;
    },
  };
}
