/**
 * What a node answers to those that ask it about workspaces. The owner decides.
 * Others pass the ask on to the owner that they know, which covers views that
 * differ and links that are cut. A deputy decides for its group once the owner
 * is silent and its lease has ended.
 * @module
 */
import type {
  Frame,
  QuotaAnswerFrame,
  QuotaAskFrame,
} from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import type { QuotaTolerance, WorkspaceLimit } from "./bounds.ts";
import { SUCCESSION_MS } from "./bucket.ts";
import { createQuotaDecider } from "./decider.ts";
import { createLeaseClock } from "./lease_clock.ts";
import { createGrantedLeases, createHeldLeases } from "./leases.ts";
import {
  packAsks,
  packGrants,
  type QuotaAsk,
  type QuotaGrant,
  type QuotaGrants,
  unpackAsks,
  unpackGrants,
} from "./messages.ts";
import {
  GROUP_MEMORY_MS,
  type Ownership,
  type QuotaMember,
} from "./ownership.ts";
import type { Peers } from "./peers.ts";

/** Answers asks and requests for leases. */
export interface QuotaAuthority {
  /** Answers a frame; resolves with undefined if there is no answer. */
  answer(frame: Frame): Promise<Frame | undefined>;
  /**
   * Decides about asks. An answer is undefined if neither this node nor the owner
   * that it knows can decide.
   */
  decide(asks: QuotaAsk[], asker: QuotaAsker): Promise<QuotaGrants>;
  /** To be called when the members have changed. */
  membersChanged(): void;
  /** Number of workspaces about which this node has decided lately. */
  readonly workspaces: number;
}

/** Who asks. */
export interface QuotaAsker {
  /** VM on which the requests came. */
  node: string;
  domain: string;
  /** Peer address from which a newer view can be fetched. */
  address: string;
  version: number;
  relayed: boolean;
}

/** Options of {@link createQuotaAuthority}. */
export interface QuotaAuthorityOptions {
  vm: string;
  timer: Timer;
  ownership: Ownership;
  peers: Peers;
  tolerance: () => QuotaTolerance;
  limitOf: (workspace: string) => WorkspaceLimit | undefined;
  /** Version of this node's view. */
  version: () => number;
  onNewerVersion: (version: number, peer: string) => void;
  /** Time since the last contact with control. */
  controlSilentMs: () => number;
}

/** Who decides about a workspace in the view of this node. */
interface Deciders {
  owner: QuotaMember | undefined;
  /** The owner before, while nodes learn of the change. */
  predecessor: QuotaMember | undefined;
}

/** Longest wait for the owner when an ask is passed on. */
const RELAY_TIMEOUT_MS = 60;
const LEASE_TIMEOUT_MS = 200;
/** Time after its start in which a process receives its first views. */
const STARTING_MS = 2_000;
/** Least sum of shares that counts as all of them, in spite of rounding. */
const FULL_SHARE = 1 - 1e-9;

/** Creates the authority of a node. */
export function createQuotaAuthority(
  options: QuotaAuthorityOptions,
): QuotaAuthority {
  const { vm, timer, ownership, peers, tolerance, limitOf } = options;
  const now = timer.now;
  const decider = createQuotaDecider({ now, tolerance });
  /** Decides in the place of silent owners. */
  const deputyDecider = createQuotaDecider({ now, tolerance });
  const granted = createGrantedLeases(now);
  /** Workspaces that this node owned until a moment ago, with that time. */
  const formerlyOwned = new Map<string, number>();
  const startedAt = now();
  /** Time since when no other node has given out a part of the limit. */
  let aloneSince = startedAt;
  const held = createHeldLeases({
    self: vm,
    ownership,
    timer,
    leaseClock: createLeaseClock(timer),
    async request({ address }) {
      const answer = await peers.exchange(address, {
        frame: { kind: "quota_lease", owner: vm },
        timeoutMs: LEASE_TIMEOUT_MS,
      });
      return answer?.kind === "quota_leased"
        ? { decided: answer.decided }
        : undefined;
    },
    onDecidedByDeputy() {
      // The deputy has given out the share of its group until now.
      aloneSince = now();
      decider.advance(held.share());
    },
  });

  /**
   * Whether the nodes of other groups may have replaced this one: it reaches
   * neither them nor control, for longer than they keep the share of its group.
   */
  function isReplaced(share: number): boolean {
    return share < FULL_SHARE && options.controlSilentMs() > GROUP_MEMORY_MS;
  }

  function limitFor(ask: QuotaAsk, asker: QuotaAsker) {
    if (asker.version > options.version()) {
      options.onNewerVersion(asker.version, asker.address);
      return ask.limit;
    }
    // Without the workspace in its view, this node knows nothing better.
    return limitOf(ask.workspace) ?? ask.limit;
  }

  function owns(workspace: string): boolean {
    return ownership.ownerOf(workspace)?.server === vm;
  }

  /** Forgets workspaces whose next owners are known everywhere. */
  function dropFormerlyOwned(): void {
    const lostBefore = now() - SUCCESSION_MS;
    decider.retain((workspace) =>
      (formerlyOwned.get(workspace) ?? Infinity) > lostBefore
    );
    formerlyOwned.forEach((lostAt, workspace) => {
      if (lostAt <= lostBefore) {
        formerlyOwned.delete(workspace);
      }
    });
  }

  /** Returns whether this node has decided in the place of the owner lately. */
  function grantLease(owner: string): boolean {
    const { decided } = granted.grant(owner);
    if (decided) {
      // While the lease runs, the owner gives out what these buckets would hold.
      deputyDecider.retain((workspace) =>
        ownership.ownerOf(workspace)?.server !== owner
      );
    }
    return decided;
  }

  async function decideAsOwner(
    asks: QuotaAsk[],
    asker: QuotaAsker,
  ): Promise<QuotaGrant[] | undefined> {
    await held.renew();
    const share = held.share();
    if (isReplaced(share)) {
      return undefined;
    }
    const sinceMs = Math.max(aloneSince, ownership.changedAt);
    // A process that has just started succeeds only its predecessor, which is gone.
    const succeeds = sinceMs > aloneSince && sinceMs > startedAt + STARTING_MS;
    return asks.map((ask) =>
      decider.decide(ask, {
        limit: limitFor(ask, asker),
        share,
        startShare: 1,
        succeeds,
        sinceMs,
      })
    );
  }

  function decideAsDeputy(
    asks: QuotaAsk[],
    { asker, owner }: { asker: QuotaAsker; owner: string },
  ): QuotaGrant[] | undefined {
    const group = ownership.groupOf({
      server: asker.node,
      domain: asker.domain,
    });
    const isDeputy = ownership.deputyOf(owner, group)?.server === vm;
    const share = ownership.groups(now())
      .find(({ name }) => name === group)?.share ?? 0;
    if (!isDeputy || !granted.mayDecideFor(owner) || isReplaced(share)) {
      return undefined;
    }
    granted.recordDecision(owner);
    return asks.map((ask) =>
      deputyDecider.decide(ask, {
        limit: limitFor(ask, asker),
        share,
        startShare: share,
        succeeds: false,
        sinceMs: now(),
      })
    );
  }

  /** Passes asks on to their owner. */
  async function relay(
    asks: QuotaAsk[],
    { asker, address }: { asker: QuotaAsker; address: string },
  ): Promise<QuotaGrants | undefined> {
    const answer = await peers.exchange(address, {
      frame: {
        kind: "quota_ask",
        ...asker,
        relayed: true,
        ...packAsks(asks),
      },
      timeoutMs: RELAY_TIMEOUT_MS,
    });
    const grants = answer?.kind === "quota_answer"
      ? unpackGrants(answer, asks.length)
      : undefined;
    // A node that decides about none of them has not decided.
    return grants?.some((grant) => grant) ? grants : undefined;
  }

  function decidersOf(workspace: string): Deciders {
    const owner = ownership.ownerOf(workspace);
    const isRecent = now() < ownership.changedAt + SUCCESSION_MS;
    const previous = isRecent
      ? ownership.previousOwnerOf(workspace)
      : undefined;
    const predecessor = previous?.server === owner?.server
      ? undefined
      : previous;
    return { owner, predecessor };
  }

  /** Passes asks on, unless they were passed on before. */
  async function relayOnce(
    asks: QuotaAsk[],
    { asker, to }: { asker: QuotaAsker; to: QuotaMember | undefined },
  ): Promise<QuotaGrants | undefined> {
    return !to || to.server === vm || asker.relayed ||
        peers.isSilent(to.address)
      ? undefined
      : await relay(asks, { asker, address: to.address });
  }

  /** Decides about asks that have the same deciders. */
  async function decideFor(
    { owner, predecessor }: Deciders,
    { asks, asker }: { asks: QuotaAsk[]; asker: QuotaAsker },
  ): Promise<QuotaGrants | undefined> {
    if (!owner) {
      return undefined;
    }
    const knowsAll = asks.every(({ workspace }) => decider.knows(workspace));
    if (predecessor?.server === vm && knowsAll) {
      // The next owner passes asks on to this node for a while.
      return await decideAsOwner(asks, asker);
    }
    if (owner.server === vm) {
      const decided = await relayOnce(asks, { asker, to: predecessor });
      if (decided) {
        // The buckets here may not fill while the other node gives out the limit.
        aloneSince = now();
        asks.forEach(({ workspace }) => decider.drain(workspace));
      }
      return decided ?? await decideAsOwner(asks, asker);
    }
    return await relayOnce(asks, { asker, to: owner }) ??
      decideAsDeputy(asks, { asker, owner: owner.server });
  }

  async function decide(
    asks: QuotaAsk[],
    asker: QuotaAsker,
  ): Promise<QuotaGrants> {
    const deciders = asks.map(({ workspace }) => decidersOf(workspace));
    const [{ owner, predecessor } = decidersOf("")] = deciders;
    // The node that asks may have another view, in which they have one owner.
    const haveSameDeciders = deciders.every((one) =>
      one.owner?.server === owner?.server &&
      one.predecessor?.server === predecessor?.server
    );
    if (haveSameDeciders) {
      return await decideFor({ owner, predecessor }, { asks, asker }) ??
        asks.map(() => undefined);
    }
    const answers = await Promise.all(
      asks.map((ask, index) =>
        decideFor(deciders[index], { asks: [ask], asker })
      ),
    );
    return answers.map((answer) => answer?.[0]);
  }

  async function answerAsk(frame: QuotaAskFrame): Promise<QuotaAnswerFrame> {
    const asks = unpackAsks(frame);
    const { node, domain, address, version, relayed } = frame;
    const grants = asks &&
      await decide(asks, { node, domain, address, version, relayed });
    return {
      kind: "quota_answer",
      accepted: grants !== undefined,
      numbers: grants && packGrants(grants),
    };
  }

  return {
    get workspaces() {
      return decider.size;
    },
    decide,
    membersChanged() {
      decider.retain((workspace) => {
        if (!owns(workspace)) {
          formerlyOwned.set(workspace, formerlyOwned.get(workspace) ?? now());
          return true;
        }
        // Another node has given out the limit meanwhile.
        return !formerlyOwned.delete(workspace);
      });
      timer.after(SUCCESSION_MS, dropFormerlyOwned);
    },
    async answer(frame) {
      if (frame.kind === "quota_lease") {
        return { kind: "quota_leased", decided: grantLease(frame.owner) };
      }
      return frame.kind === "quota_ask" ? await answerAsk(frame) : undefined;
    },
  };
}
