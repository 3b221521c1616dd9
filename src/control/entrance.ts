/**
 * How a replica enters its cluster: as a founder, as a voter that its peers
 * vouch for, or as a learner under a new identity after its disk was lost or
 * rolled back.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { LogStore, Membership, Recovered } from "./log_store.ts";
import { helloMethod } from "./methods.ts";

/** Pause before peers are greeted again, in milliseconds. */
const PAUSE_MS = 50;
/** Time for which further answers are waited for, once enough have come. */
const LATE_HELLO_MS = 30;

/** Options of {@link enterCluster}. */
export interface EntranceOptions {
  vm: string;
  address: string;
  founders: Record<string, string>;
  /** Whether an empty disk may begin a new cluster. */
  mayFound: boolean;
  /** A peer told who takes part. */
  onMembers: (members: Membership) => void;
  recovered: Recovered;
  store: LogStore;
  rpc: Rpc;
  timer: Timer;
  random: Random;
  logger: Logger;
  signal: AbortSignal;
  callMs: number;
}

/** How a replica entered; `reset` and `founder` changed what is on disk. */
export type Entrance =
  | { kind: "vouched"; identity: string }
  | { kind: "founder"; identity: string }
  | { kind: "reset"; identity: string }
  | { kind: "stopped" };

interface Hello {
  formed: boolean;
  rolledBack: boolean;
}

function founderIdentity(vm: string): string {
  return `${vm}#founder`;
}

function newestMembership(recovered: Recovered): Membership | undefined {
  return recovered.entries.findLast((entry) => entry.membership)?.membership ??
    recovered.snapshot?.membership;
}

/**
 * Enters the cluster; resolves once the replica may take part. It greets peers
 * for as long as it takes. Only the end of the replica ends it, as `stopped`,
 * and peers are not told.
 */
export async function enterCluster(
  options: EntranceOptions,
): Promise<Entrance> {
  const { vm, address, founders, recovered, store, random, logger } = options;
  const { rpc, timer, signal } = options;
  const clusterName = Object.keys(founders).sort().join(",");

  /** Name under which this replica is a founder. */
  function ownName(): string | undefined {
    return Object.keys(founders).find((name) => founders[name] === address);
  }

  async function greetOne(peer: string): Promise<Hello | undefined> {
    const last = recovered.entries.at(-1)?.index ??
      recovered.snapshot?.index ?? 0;
    const reply = await rpc.call({
      peer,
      method: helloMethod,
      request: {
        identity: recovered.identity?.identity ?? "",
        lastIndex: last,
        term: recovered.vote.term,
      },
      timeoutMs: options.callMs,
    });
    if (reply.isErr()) {
      return undefined;
    }
    const { formed, rolledBack, members } = reply.value;
    options.onMembers(members);
    return formed === undefined ? undefined : { formed, rolledBack };
  }

  /**
   * Greets peers; resolves once all have answered or failed, or a short time
   * after enough of them have answered.
   */
  function greet(
    addresses: string[],
    enough = addresses.length,
  ): Promise<Hello[]> {
    const hellos: Hello[] = [];
    let open = addresses.length;
    return new Promise((resolve) => {
      function conclude(): void {
        if (open === 0) {
          resolve(hellos);
        } else if (hellos.length === enough) {
          timer.after(LATE_HELLO_MS, () => resolve([...hellos]));
        }
      }
      conclude();
      for (const address of addresses) {
        void greetOne(address).then((hello) => {
          open--;
          if (hello) {
            hellos.push(hello);
          }
          conclude();
        });
      }
    });
  }

  async function becomeLearner(cause: string): Promise<Entrance> {
    const identity = `${vm}#${random.identifier()}`;
    logger.warn("replica.new_identity", { identity, cause });
    await store.reset();
    await store.saveIdentity({ identity, cluster: clusterName });
    return { kind: "reset", identity };
  }

  async function found(): Promise<Entrance> {
    const identity = founderIdentity(ownName() ?? vm);
    const voters = Object.entries(founders).map(([name, peer]) => ({
      identity: founderIdentity(name),
      vm: name,
      address: peer,
    }));
    await store.reset();
    await store.append([{
      index: 1,
      term: 0,
      logTime: 0,
      membership: { voters, learners: [] },
    }]);
    await store.saveIdentity({ identity, cluster: clusterName });
    return { kind: "founder", identity };
  }

  /** Without an identity on disk: founds the cluster or joins it. */
  async function enterNew(): Promise<Entrance> {
    const others = Object.values(founders).filter((peer) => peer !== address);
    while (!signal.aborted) {
      const hellos = await greet(others);
      if (hellos.some((hello) => hello.formed)) {
        return await becomeLearner("no identity on disk");
      }
      const founds = options.mayFound && ownName() !== undefined;
      if (founds && hellos.length === others.length) {
        return await found();
      }
      await sleep(timer, PAUSE_MS, { signal });
    }
    return { kind: "stopped" };
  }

  /** With an identity: asks peers whether they saw a newer disk of ours. */
  async function enterKnown(identity: string): Promise<Entrance> {
    const membership = newestMembership(recovered);
    const voters = membership?.voters ?? [];
    const known = [...voters.map((voter) => voter.address)];
    const others = new Set([...known, ...Object.values(founders)]);
    others.delete(address);
    const needed = Math.min(
      others.size,
      Math.max(1, Math.floor(voters.length / 2)),
    );
    while (!signal.aborted) {
      const hellos = await greet([...others], needed);
      if (hellos.some((hello) => hello.rolledBack)) {
        return await becomeLearner("the disk was rolled back");
      }
      if (hellos.length >= needed) {
        return { kind: "vouched", identity };
      }
      await sleep(timer, PAUSE_MS, { signal });
    }
    return { kind: "stopped" };
  }

  const identity = recovered.identity?.identity;
  return identity ? await enterKnown(identity) : await enterNew();
}
