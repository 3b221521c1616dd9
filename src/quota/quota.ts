/**
 * Rate limits of workspaces over all nodes, as a part of a node: its view of the
 * members, its decisions as an ingress and as an owner, and its metrics. It does
 * nothing at a site whose workspaces have no limit.
 * @module
 */
import { errorFields } from "../core/errors.ts";
import { createRateLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { PeerPool } from "../ingress/peer_pool.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Channel } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import { sleep, type Timer } from "../time/timer.ts";
import {
  createQuotaAdmission,
  DECISION_SOURCES,
  type QuotaAdmission,
} from "./admission.ts";
import { createQuotaAuthority } from "./authority.ts";
import type { QuotaTolerance, WorkspaceLimit } from "./bounds.ts";
import { createCutOffAllowance } from "./cut_off.ts";
import { createLeaseClock } from "./lease_clock.ts";
import { packAsks, type QuotaAsk, unpackGrants } from "./messages.ts";
import { createOwnership, type QuotaMember } from "./ownership.ts";
import { createPeers, createPoolExchange, type Peers } from "./peers.ts";

export type { QuotaDecision } from "./admission.ts";

/** Rate limits of workspaces over all nodes. */
export interface Quota extends QuotaAdmission {
  /** Answers a frame of another node on its channel. */
  serve(channel: Channel, frame: Frame): Promise<void>;
}

/** Options of {@link createQuota}. */
export interface QuotaOptions {
  vm: string;
  domain: string;
  peerAddress: string;
  directory: Directory;
  pool: PeerPool;
  timer: Timer;
  random: Random;
  metrics: Metrics;
  logger: Logger;
  /** Returns the limit of a workspace, undefined if it has none. */
  limitOf: (workspace: string) => WorkspaceLimit | undefined;
  /** Subscribes to a service, and resolves once its view has been fetched. */
  subscribe: (service: string) => Promise<void>;
  onNewerVersion: (version: number, peer: string) => void;
  /** Monotonic time of the last contact with control. */
  lastSyncAt: () => number;
  /** Exchanges frames with a peer, in place of the channels of the pool. */
  exchange?: Peers["exchange"];
}

/** Longest wait for the answer of an owner or a deputy. */
const ASK_TIMEOUT_MS = 100;
/** Age at which a grant is no longer used, for a process that was frozen. */
const MAX_GRANT_AGE_MS = 300;
/** Longest pending time of an ask whose sender still waits for the answer. */
const MAX_UNREAD_MS = ASK_TIMEOUT_MS;
/** Longest wait of a request for the first view of the members. */
const PREPARE_TIMEOUT_MS = 300;
/** Services whose members own workspaces, at a site with many. */
const MAX_OWNER_SERVICES = 4;
const MAX_LOG_LINES_PER_S = 2;
const DEFAULT_TOLERANCE: QuotaTolerance = {
  windowMs: 5_000,
  excess: 0.1,
  slack: 20,
};

/** Creates the rate limits of a node. */
export function createQuota(options: QuotaOptions): Quota {
  const { vm, domain, peerAddress, directory, timer, metrics } = options;
  const ownership = createOwnership();
  const leaseClock = createLeaseClock(timer);
  const log = createRateLimitedLog({
    timer,
    logger: options.logger,
    perSecond: MAX_LOG_LINES_PER_S,
  });
  const peers = createPeers({
    timer,
    exchange: options.exchange ?? createPoolExchange(options.pool, timer),
    onSilent(peer) {
      metrics.count("quota_silences");
      log.write("quota.peer_silent", { peer });
    },
  });
  let ownerServices: readonly string[] = [];
  let preparing: Promise<void> | undefined;
  let prepared = false;
  /** Whether a request of a workspace with a limit has come. */
  let used = false;
  /** Monotonic time at which the members may have changed. */
  let viewChangedAt = timer.now();

  function tolerance(): QuotaTolerance {
    const settings = directory.global?.limits.quota;
    return settings
      ? {
        windowMs: settings.window_ms,
        excess: settings.excess,
        slack: settings.slack,
      }
      : DEFAULT_TOLERANCE;
  }

  function membersOf(service: string): QuotaMember[] {
    return (directory.service(service)?.members ?? [])
      .filter(({ leaving }) => !leaving)
      .map(({ server, domain, address }) => ({ server, domain, address }));
  }

  /** Applies the members of the owner services, once all are known. */
  function applyMembers(): void {
    ownerServices = [...directory.services()].sort()
      .slice(0, MAX_OWNER_SERVICES);
    prepared = ownerServices.length > 0 &&
      ownerServices.every((service) => directory.service(service));
    if (!prepared) {
      return;
    }
    const changed = ownership.update(ownerServices.flatMap(membersOf), {
      now: viewChangedAt,
      domainCount: directory.global?.limits.domains.length ?? 1,
    });
    if (changed) {
      authority.membersChanged();
    }
  }

  async function subscribeAll(): Promise<void> {
    try {
      await Promise.race([
        Promise.all(ownerServices.map(options.subscribe)),
        sleep(timer, PREPARE_TIMEOUT_MS),
      ]);
    } catch (error) {
      // The request goes on with the members that are known, as after the timeout.
      log.write("quota.subscribe_failed", errorFields(error));
    } finally {
      preparing = undefined;
    }
  }

  function prepare(): Promise<void> | undefined {
    if (!used) {
      used = true;
      applyMembers();
    }
    if (prepared) {
      return undefined;
    }
    preparing ??= subscribeAll();
    return preparing;
  }

  directory.onChange(({ global, services }) => {
    const concerns = global || !used ||
      services.some((name) => ownerServices.includes(name));
    if (!concerns) {
      return;
    }
    viewChangedAt = timer.now();
    if (used) {
      applyMembers();
    }
  });

  const authority = createQuotaAuthority({
    vm,
    timer,
    ownership,
    peers,
    tolerance,
    limitOf: options.limitOf,
    version: () => directory.version,
    onNewerVersion: options.onNewerVersion,
    controlSilentMs: () => timer.now() - options.lastSyncAt(),
  });

  async function send(target: QuotaMember, asks: QuotaAsk[]) {
    const asker = {
      node: vm,
      domain,
      address: peerAddress,
      version: directory.version,
      relayed: false,
    };
    metrics.count("quota_asks");
    if (target.server === vm) {
      return await authority.decide(asks, asker);
    }
    const askedAt = leaseClock();
    const answer = await peers.exchange(target.address, {
      frame: { kind: "quota_ask", ...asker, ...packAsks(asks) },
      timeoutMs: ASK_TIMEOUT_MS,
    });
    if (leaseClock() - askedAt > MAX_GRANT_AGE_MS) {
      return undefined;
    }
    return answer?.kind === "quota_answer"
      ? unpackGrants(answer, asks.length)
      : undefined;
  }

  const admission = createQuotaAdmission({
    vm,
    domain,
    timer,
    randomFraction: options.random.fraction,
    ownership,
    limitOf: options.limitOf,
    cutOff: createCutOffAllowance({
      now: timer.now,
      randomFraction: options.random.fraction,
      tolerance,
      nodes: () => ownership.size,
    }),
    prepare,
    isSilent: peers.isSilent,
    send,
    onDecision(decision, { workspace, by }) {
      if (decision.kind === "refused") {
        metrics.countBy("quota_refused", { name: "by", value: by });
        log.writeLazy("quota.refused", () => ({
          workspace,
          cause: decision.cause,
          by,
          retry_after_ms: Math.round(decision.retryAfterMs),
        }));
      } else if (by !== "owner") {
        metrics.countBy("quota_admitted", { name: "by", value: by });
      }
    },
  });
  metrics.gauge("quota_workspaces", () => authority.workspaces);
  metrics.initializeCounter("quota_refused", {
    label: "by",
    values: [...DECISION_SOURCES],
  });

  return {
    ...admission,
    async serve(channel, frame) {
      // The sender of an ask that was read late no longer waits for the answer.
      const isLate = (channel.maxUnreadMs ?? 0) > MAX_UNREAD_MS;
      if (isLate && frame.kind === "quota_ask") {
        return await channel.send({ kind: "quota_answer", accepted: false });
      }
      await prepare();
      const answer = await authority.answer(frame);
      if (answer) {
        await channel.send(answer);
      } else {
        channel.close();
      }
    },
  };
}
