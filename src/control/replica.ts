/**
 * One replica of the log: it votes, follows and leads. Each peer of a leader
 * has a task of its own, and each step is written straight down.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { CorruptionError, errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createSerial, type Supervisor } from "../core/tasks.ts";
import type { Disk } from "../disk/disk.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { createDurableMarks } from "./durable_marks.ts";
import { collectVotes } from "./election.ts";
import { createLeadership, type Leadership } from "./leadership.ts";
import {
  createLogStore,
  type LogStore,
  type Membership,
  type Recovered,
  type ReplicaInfo,
  type Vote,
} from "./log_store.ts";
import type { Machine } from "./machine.ts";
import {
  appendMethod,
  handoverMethod,
  helloMethod,
  joinMethod,
  snapshotMethod,
  voteMethod,
} from "./methods.ts";
import {
  createProposals,
  ProposalError,
  type ProposalResult,
} from "./proposals.ts";
import { createReplicaLog, type ReplicaLog } from "./replica_log.ts";
import { enterCluster } from "./entrance.ts";
import { createSnapshotParts } from "./snapshot_parts.ts";
import { DEFAULT_TUNING, type ReplicaTuning } from "./tuning.ts";

/** What a replica does at present. */
export type Role =
  | "starting"
  | "learner"
  | "follower"
  | "leader"
  | "failed"
  | "stopped";

/** Options of {@link createReplica}. */
export interface ReplicaOptions {
  /** Name of the VM. */
  vm: string;
  /** RPC address of this replica. */
  address: string;
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Whether an empty disk may begin a new cluster; true by default. */
  mayFound?: boolean;
  /** Driven by committed entries. */
  machine: Machine;
  /** Data folder. */
  disk: Disk;
  /** Calls to and from peers; its handlers are set here. */
  rpc: Rpc;
  /** Clock and timers. */
  timer: Timer;
  /** Randomness. */
  random: Random;
  /** Receives events. */
  logger: Logger;
  /** Parent of the replica's tasks. */
  supervisor: Supervisor;
  /** Times and sizes. */
  tuning?: Partial<ReplicaTuning>;
}

/** A replica's view of itself. */
export interface ReplicaStatus {
  identity: string;
  role: Role;
  term: number;
  leader: string;
  lastIndex: number;
  commitIndex: number;
  snapshotIndex: number;
  voters: string[];
  learners: string[];
  failure: string;
}

/** One replica of the log. */
export interface Replica {
  /** Reads the disk and enters the cluster in the background. */
  start(): Promise<void>;
  /** Hands leadership over if need be, and stops. */
  stop(): Promise<void>;
  /** Appends a command and returns its result once it is committed. */
  propose(command: unknown): Promise<ProposalResult>;
  /**
   * Confirms with a quorum that this replica leads and that everything
   * accepted before the call is applied here.
   */
  confirm(): Promise<Result<number, ProposalError>>;
  /** Returns the replica's view of itself. */
  status(): ReplicaStatus;
  /** RPC addresses of all replicas that are known, this one included. */
  addresses(): string[];
  /** Milliseconds since this replica last heard from a quorum's leader. */
  stalenessMs(): number;
}

/** Pause before a replica whose disk failed reads it again. */
const REOPEN_MS = 1_000;
/** Longest wait for a leader after entering, in election timeouts. */
const ENTERING_PATIENCE = 0.3;
/** Shortest pause between two looks at the leader's silence, in ms. */
const ELECTION_CHECK_MS = 20;
const NO_MEMBERS: Membership = { voters: [], learners: [] };

/** Creates a replica. */
export function createReplica(options: ReplicaOptions): Replica {
  const { vm, address, machine, rpc, timer, random, logger } = options;
  const tuning = { ...DEFAULT_TUNING, ...options.tuning };
  const store: LogStore = createLogStore(options.disk);
  const supervisor = options.supervisor.child();
  const { signal } = supervisor;
  const serial = createSerial();
  const proposals = createProposals();
  const snapshotParts = createSnapshotParts();
  const marks = createDurableMarks();
  const met = new Set<string>();

  let log: ReplicaLog;
  let identity = "";
  let vote: Vote = { term: 0, votedFor: "" };
  let role: Role = "starting";
  let leader: ReplicaInfo | undefined;
  let leadership: Leadership | undefined;
  let lastHeard = -Infinity;
  let failure = "";
  let justEntered = false;

  function self(): ReplicaInfo {
    return { identity, vm, address };
  }

  function isVoter(): boolean {
    return log.membership.voters.some((voter) => voter.identity === identity);
  }

  function takesPart(): boolean {
    return role === "follower" || role === "leader" || role === "learner";
  }

  function isMeant(to: string): boolean {
    return takesPart() && to === identity;
  }

  function fail(error: unknown): void {
    if (role === "failed") {
      return;
    }
    logger.error("replica.failed", errorFields(error));
    failure = String(errorFields(error).error);
    stepDown("disk");
    role = "failed";
    if (!(error instanceof CorruptionError)) {
      supervisor.start("replica.reopen", reopenTask);
    }
  }

  /**
   * Begins anew with what the disk holds. Whatever was not made durable is
   * gone from memory too, so that nothing is told that the disk may lack.
   */
  async function reopenTask(): Promise<void> {
    await sleep(timer, REOPEN_MS, { signal });
    if (signal.aborted) {
      return;
    }
    role = "starting";
    try {
      await enter();
      failure = "";
    } catch (error) {
      fail(error);
    }
  }

  function stepDown(cause: string): void {
    if (!leadership) {
      return;
    }
    logger.info("replica.stepped_down", { term: vote.term, cause });
    leadership.end();
    leadership = undefined;
    if (role === "leader") {
      role = "follower";
    }
    proposals.abandon(leader?.address ?? "");
  }

  async function saveVote(next: Vote): Promise<void> {
    try {
      await store.saveVote(next);
    } catch (error) {
      fail(error);
      throw error;
    }
    vote = next;
  }

  async function adoptTerm(term: number): Promise<void> {
    if (term > vote.term) {
      stepDown("newer term");
      await saveVote({ term, votedFor: "" });
    }
  }

  function upToDate(lastTerm: number, lastIndex: number): boolean {
    return lastTerm > log.lastTerm ||
      (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
  }

  function hearsLeader(): boolean {
    return role === "leader" || timer.now() - lastHeard < tuning.electionMs;
  }

  function handleVotes(): void {
    rpc.handle(voteMethod, (request) =>
      serial.run(async () => {
        const { term, candidate, pre, handover } = request;
        const deny = { term: vote.term, granted: false };
        if (!isMeant(request.to) || term < vote.term) {
          return deny;
        }
        if (hearsLeader() && !handover) {
          return deny;
        }
        const fresh = upToDate(request.lastTerm, request.lastIndex);
        if (pre) {
          return { term: vote.term, granted: fresh && isVoter() };
        }
        await adoptTerm(term);
        const free = vote.votedFor === "" || vote.votedFor === candidate;
        if (!free || !fresh || !isVoter()) {
          return { term: vote.term, granted: false };
        }
        await saveVote({ term, votedFor: candidate });
        lastHeard = timer.now();
        return { term, granted: true };
      }));
  }

  function follow(from: ReplicaInfo): void {
    if (leader?.identity !== from.identity) {
      logger.info("replica.follows", {
        term: vote.term,
        leader: from.identity,
      });
    }
    leader = from;
    lastHeard = timer.now();
    const next = isVoter() ? "follower" : "learner";
    if (role !== "leader") {
      role = next;
    }
  }

  function handleAppends(): void {
    rpc.handle(appendMethod, (request) =>
      serial.run(async () => {
        const refuse = {
          term: vote.term,
          accepted: false,
          lastIndex: log?.lastIndex ?? 0,
        };
        if (!isMeant(request.to) || request.term < vote.term) {
          return refuse;
        }
        await adoptTerm(request.term);
        follow(request.leader);
        marks.take(request.marks);
        const { previousIndex, previousTerm, entries } = request;
        const covered = log.snapshot?.index ?? 0;
        const matches = previousIndex < covered ||
          log.termAt(previousIndex) === previousTerm;
        if (!matches) {
          const hint = Math.min(log.lastIndex, previousIndex - 1);
          return { term: vote.term, accepted: false, lastIndex: hint };
        }
        await log.accept(entries);
        const matched = previousIndex + entries.length;
        log.commitTo(Math.min(request.commitIndex, matched));
        follow(request.leader);
        return { term: vote.term, accepted: true, lastIndex: matched };
      }));
  }

  function handleSnapshots(): void {
    rpc.handle(snapshotMethod, (request) =>
      serial.run(async () => {
        const refuse = { term: vote.term, received: 0 };
        if (!isMeant(request.to) || request.term < vote.term) {
          return refuse;
        }
        await adoptTerm(request.term);
        follow(request.leader);
        const { received, whole } = snapshotParts.add(request);
        if (whole) {
          await log.install({
            index: request.index,
            term: request.lastTerm,
            logTime: request.logTime,
            membership: request.membership,
            state: new Uint8Array(whole),
          });
          logger.info("replica.snapshot_installed", { index: request.index });
        }
        follow(request.leader);
        return { term: vote.term, received };
      }));
  }

  function handleEntrance(): void {
    rpc.handle(helloMethod, (request) => {
      const formed = vote.term > 0 || (log?.lastIndex ?? 0) > 1;
      return Promise.resolve({
        formed,
        rolledBack: marks.isRolledBack(request),
        members: log?.membership ?? NO_MEMBERS,
      });
    });
    rpc.handle(joinMethod, (request) => {
      const accepted = leadership?.admit(request) ?? false;
      return Promise.resolve({ accepted, leader: leader?.address ?? "" });
    });
    rpc.handle(handoverMethod, async (request) => {
      if (request.term !== vote.term || role !== "follower") {
        return { started: false };
      }
      await campaign(true);
      return { started: true };
    });
  }

  /** Asks for votes, and takes over a newer term that a voter tells of. */
  async function ask(
    term: number,
    kind: { pre: boolean; handover: boolean },
  ): Promise<boolean> {
    const { won, newestTerm } = await collectVotes(
      { term, candidate: identity, ...kind },
      { log, rpc, timeoutMs: tuning.callMs },
    );
    if (newestTerm > vote.term) {
      void serial.run(() => adoptTerm(newestTerm)).catch(() => {});
    }
    return won;
  }

  async function campaign(handover: boolean): Promise<void> {
    const term = vote.term + 1;
    if (!handover) {
      const welcome = await ask(term, { pre: true, handover });
      if (!welcome || hearsLeader() || vote.term !== term - 1) {
        return;
      }
    }
    const stands = await serial.run(async () => {
      if (vote.term !== term - 1 || role !== "follower") {
        return false;
      }
      await saveVote({ term, votedFor: identity });
      return true;
    });
    if (!stands) {
      return;
    }
    const won = await ask(term, { pre: false, handover });
    await serial.run(() => {
      if (won && vote.term === term && role === "follower") {
        lead(term);
      }
      return Promise.resolve();
    });
  }

  function lead(term: number): void {
    role = "leader";
    leader = self();
    logger.info("replica.leads", { term, identity });
    leadership = createLeadership({
      self: self(),
      term,
      log,
      rpc,
      timer,
      logger,
      supervisor: supervisor.child(),
      tuning,
      marks,
      onNewerTerm: (newer) => {
        void serial.run(() => adoptTerm(newer)).catch(() => {});
      },
      onQuorumLost: () => stepDown("quorum lost"),
      onRemoved: () => stepDown("removed"),
    });
    leadership.begin();
  }

  /**
   * Election timeouts to wait for a leader. A replica that has just entered
   * waits less: if there is a leader, its followers deny the first question,
   * and after a power loss there is none.
   */
  function patience(): number {
    return justEntered
      ? ENTERING_PATIENCE * random.fraction()
      : 1 + random.fraction();
  }

  async function electionTask(): Promise<void> {
    while (!signal.aborted) {
      const waitMs = tuning.electionMs * patience();
      const since = Math.max(lastHeard, electionBase);
      const remaining = since + waitMs - timer.now();
      await sleep(timer, Math.max(remaining, ELECTION_CHECK_MS), { signal });
      const silent = timer.now() - Math.max(lastHeard, electionBase) >= waitMs;
      if (role === "follower" && isVoter() && silent) {
        justEntered = false;
        await campaign(false);
        electionBase = timer.now();
      }
    }
  }
  let electionBase = timer.now();

  function openLog(recovered: Recovered): void {
    vote = recovered.vote;
    log = createReplicaLog({
      store,
      machine,
      recovered,
      snapshotEvery: tuning.snapshotEvery,
      listener: {
        durable: () => leadership?.advance(),
        applied: proposals.applied,
        failed: fail,
      },
    });
  }

  async function enter(): Promise<void> {
    const recovered = await store.recover();
    if (recovered.tornBytes > 0) {
      logger.warn("replica.torn_tail_cut", { bytes: recovered.tornBytes });
    }
    openLog(recovered);
    const entrance = await enterCluster({
      vm,
      address,
      founders: options.founders,
      mayFound: options.mayFound ?? true,
      onMembers: (members) =>
        [...members.voters, ...members.learners].forEach((member) =>
          met.add(member.address)
        ),
      recovered,
      store,
      rpc,
      timer,
      random,
      logger,
      signal,
      callMs: tuning.callMs,
    });
    if (entrance.kind === "stopped") {
      return;
    }
    identity = entrance.identity;
    if (entrance.kind === "reset" || entrance.kind === "founder") {
      openLog(await store.recover());
    }
    role = isVoter() ? "follower" : "learner";
    justEntered = entrance.kind === "vouched";
    electionBase = timer.now();
    logger.info("replica.entered", { identity, role, term: vote.term });
  }

  /** Addresses of the members, of those met on entering and the founders. */
  function knownAddresses(): string[] {
    const { voters, learners } = log?.membership ?? NO_MEMBERS;
    return [
      ...new Set([
        ...[...voters, ...learners].map((member) => member.address),
        ...met,
        ...Object.values(options.founders),
      ]),
    ];
  }

  async function joinTask(): Promise<void> {
    let peer = 0;
    while (!signal.aborted) {
      await sleep(timer, tuning.electionMs, { signal });
      const known = [...log.membership.voters, ...log.membership.learners]
        .some((member) => member.identity === identity);
      if (role !== "learner" || known) {
        continue;
      }
      const addresses = [
        ...(leader ? [leader.address] : []),
        ...knownAddresses(),
      ].filter((candidate) => candidate !== address);
      if (addresses.length === 0) {
        continue;
      }
      await rpc.call({
        peer: addresses[peer++ % addresses.length],
        method: joinMethod,
        request: self(),
        timeoutMs: tuning.callMs,
      });
    }
  }

  async function start(): Promise<void> {
    handleVotes();
    handleAppends();
    handleSnapshots();
    handleEntrance();
    await rpc.listen(address);
    supervisor.start("replica.enter", async () => {
      try {
        await enter();
      } catch (error) {
        fail(error);
        return;
      }
      supervisor.start("replica.election", electionTask);
      supervisor.start("replica.join", joinTask);
    });
  }

  async function propose(command: unknown): Promise<ProposalResult> {
    if (!leadership || leadership.handingOver) {
      return err(new ProposalError("not_leader", leader?.address ?? ""));
    }
    return await proposals.wait(leadership.propose(command));
  }

  async function confirm(): Promise<Result<number, ProposalError>> {
    const current = leadership;
    const index = await current?.confirm();
    if (index === undefined || leadership !== current) {
      return err(new ProposalError("not_leader", leader?.address ?? ""));
    }
    return ok(index);
  }

  return {
    start,
    propose,
    confirm,
    async stop() {
      await leadership?.handOver();
      stepDown("stopping");
      role = "stopped";
      await supervisor.stop();
      await log?.idle();
      await rpc.close();
    },
    addresses: () => [...new Set([...knownAddresses(), address])],
    stalenessMs: () => role === "leader" ? 0 : timer.now() - lastHeard,
    status: () => ({
      identity,
      role,
      term: vote.term,
      leader: leader?.address ?? "",
      lastIndex: log?.lastIndex ?? 0,
      commitIndex: log?.commitIndex ?? 0,
      snapshotIndex: log?.snapshot?.index ?? 0,
      voters: log?.membership.voters.map((voter) => voter.identity) ?? [],
      learners: log?.membership.learners.map((one) => one.identity) ?? [],
      failure,
    }),
  };
}
