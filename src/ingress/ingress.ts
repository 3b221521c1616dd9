/**
 * The ingress accepts callers' requests, chooses backend servers, and reports
 * to each caller whether its request ran. It can be embedded in a caller's own
 * process, which saves a hop.
 * @module
 */
import { createPolicy } from "../choosing/mod.ts";
import { headerValue, IDEMPOTENCY_KEY_HEADER } from "../core/headers.ts";
import { createRequestLog } from "../core/request_log.ts";
import { MEDIAN } from "../metrics/metrics.ts";
import type { Attempt } from "../network/frames.ts";
import { MAX_TIMEOUT_MS, type RoutePolicy } from "../settings/site.ts";
import { isForRunning, isReturning } from "../overload/origin.ts";
import {
  createAuthentication,
  DEFAULT_WORKSPACE,
} from "../workspaces/authentication.ts";
import { createAnswerSizes } from "./answer_sizes.ts";
import { createServiceBudgets } from "./budget.ts";
import { type Call, notRunReply, type Reply, unknownReply } from "./call.ts";
import { createDispatcher } from "./dispatch.ts";
import { createFirstViewRetry } from "./first_view.ts";
import { createHints, type Hints } from "./hints.ts";
import { createKeyedCalls } from "./keyed_calls.ts";
import type { FrameOptions, IngressOptions, IngressParts } from "./parts.ts";
import { createPlacement } from "./placement.ts";
import { createQuotaGate } from "./quota_gate.ts";
import type { RoutedCall } from "./routed_call.ts";
import { createSpentTime } from "./spent_time.ts";

/** Accepts callers' requests. */
export interface Ingress {
  /** Handles a request. Never rejects. */
  handle(call: Call): Promise<Reply>;
  /** Hints about the backend servers. */
  readonly hints: Hints;
  /** Number of requests being handled. */
  readonly inFlight: number;
}

const DEFAULT_POLICY = "expected_wait";
const MAX_KEY_LENGTH = 200;
const BAD_REQUEST = 400;

/** Creates an ingress. */
export function createIngress(options: IngressOptions): Ingress {
  const { directory, timer, random, metrics } = options;
  const hints = createHints(timer);
  const sizes = createAnswerSizes();
  const spentTime = createSpentTime();
  const authentication = createAuthentication(options);
  const placement = createPlacement({
    ...options,
    hints,
    sizes,
    policy: createPolicy(options.policy ?? DEFAULT_POLICY, {
      staleAfterMs: () =>
        directory.global?.limits.measuring.load_stale_after_ms ?? Infinity,
    }),
    canStartLocally: options.canStartLocally ?? (() => false),
  });
  const log = createRequestLog(options);
  const firstViewRetryMs = createFirstViewRetry(options);
  const incarnations = new Map<string, string>();
  let inFlight = 0;
  let order = 0;

  /** Discards the hints about servers that were replaced. */
  function forgetReplaced(service: string): void {
    for (const member of directory.service(service)?.members ?? []) {
      const identity = `${member.incarnation} ${member.boot}`;
      const previous = incarnations.get(member.server);
      if (previous !== undefined && previous !== identity) {
        hints.forget(member.server);
      }
      incarnations.set(member.server, identity);
    }
  }
  directory.onChange((change) => change.services.forEach(forgetReplaced));

  function attemptFrame(
    routed: RoutedCall,
    { member, attempt, suspect, elsewhere }: FrameOptions,
  ): Attempt {
    const { call, settings, workspace, deadlineAt, route } = routed;
    const buffered = call.body instanceof Uint8Array;
    return {
      kind: "attempt",
      attempt,
      incarnation: member.incarnation,
      version: directory.version,
      from: options.peerAddress,
      requestId: call.requestId,
      service: route.service,
      caller: options.caller(),
      class: settings.class,
      tenant: workspace,
      authenticated: routed.authenticated || undefined,
      rank: settings.rank,
      workspaceRank: routed.workspaceRank,
      forRunning: routed.forRunning || undefined,
      returning: routed.returning || undefined,
      repeatable: settings.repeatable,
      timeLeftMs: Math.max(0, deadlineAt - timer.now()),
      objectiveLeftMs: routed.objectiveAt === undefined
        ? undefined
        : routed.objectiveAt - timer.now(),
      method: call.method,
      path: call.path,
      headers: call.headers,
      suspect,
      elsewhere,
      body: buffered ? call.body as Uint8Array : new Uint8Array(),
      streaming: !buffered,
    };
  }

  const parts: IngressParts = {
    ...options,
    ...placement,
    hints,
    sizes,
    attemptFrame,
  };
  const budgets = createServiceBudgets(() => ({
    retry: directory.global?.limits.retry,
    fleetSize: directory.fleetSize,
  }));
  const dispatcher = createDispatcher(parts, {
    budgets,
    nextOrder: () => order++,
  });
  const keyedCalls = createKeyedCalls(parts);
  const quotaGate = createQuotaGate(
    options.quota,
    ({ objectiveAt = Infinity, settings }) =>
      objectiveAt <
        timer.now() + (metrics.quantile(settings.class, MEDIAN) ?? 0),
  );

  function timeoutOf(call: Call, settings: RoutePolicy): number {
    return Math.min(
      call.timeoutMs ?? Infinity,
      settings.deadline_ms,
      MAX_TIMEOUT_MS,
    );
  }

  async function resolveCall(call: Call): Promise<RoutedCall | Reply> {
    const path = call.path.split("?")[0];
    const route = directory.route({
      method: call.method,
      host: call.host,
      path,
      randomFraction: random.fraction,
    });
    if (!directory.global) {
      const retryAfterMs = firstViewRetryMs();
      return notRunReply("not_ready", { attempts: 0, retryAfterMs });
    }
    if (!route) {
      return notRunReply("no_route");
    }
    if (!directory.routeSettings(route)) {
      await options.subscribe(route.service);
    }
    const found = directory.routeSettings(route);
    if (!found) {
      return notRunReply("not_ready");
    }
    const { service, route: settings } = found;
    const startedAt = call.arrivedAt ?? timer.now();
    const identity = await authentication.identify(call, settings);
    if ("status" in identity) {
      return identity;
    }
    const spentMs = spentMsOf(call, settings);
    const { objective_ms: objectiveMs } = settings;
    return {
      ...identity,
      route,
      settings,
      service,
      forRunning: isForRunning({
        servesKeyless: directory.workspaces.size > 0 &&
          directory.global.limits.authentication.keyless === "serve",
        hasNoWorkspace: !identity.authenticated,
        isPublic: settings.public ?? false,
      }),
      returning: isReturning(spentMs),
      startedAt,
      deadlineAt: startedAt + timeoutOf(call, settings),
      // The objective counts from the first try.
      objectiveAt: objectiveMs && startedAt + objectiveMs - spentMs,
    };
  }

  /** Returns the time that a caller has spent on earlier tries, in ms. */
  function spentMsOf(call: Call, settings: RoutePolicy): number {
    return call.timeoutMs === undefined || settings.objective_ms === undefined
      ? 0
      : spentTime.spentMs(settings.class, call.timeoutMs);
  }

  function validate(routed: RoutedCall): Reply | undefined {
    const { call, settings } = routed;
    const { body, bodyLength } = call;
    const length = body instanceof Uint8Array ? body.length : bodyLength ?? 0;
    if (length > settings.max_body_bytes) {
      return notRunReply("body_too_large");
    }
    const key = headerValue(call.headers, IDEMPOTENCY_KEY_HEADER);
    if (settings.key === "required" && !key) {
      return notRunReply("key_required");
    }
    if (key && key.length > MAX_KEY_LENGTH) {
      return { ...notRunReply("key_required"), status: BAD_REQUEST };
    }
    return undefined;
  }

  async function dispatch(routed: RoutedCall): Promise<Reply> {
    const refused = validate(routed);
    if (refused) {
      return refused;
    }
    const key = headerValue(routed.call.headers, IDEMPOTENCY_KEY_HEADER);
    if (key && routed.settings.key !== "none") {
      // The limit of the workspace does not apply: a refusal would say that the
      // request did not run, while an earlier one with this key may have.
      budgets.of(routed.route.service).deposit();
      return await keyedCalls.run(routed, key);
    }
    return await quotaGate(routed, dispatchAdmitted);
  }

  function dispatchAdmitted(routed: RoutedCall): Promise<Reply> {
    budgets.of(routed.route.service).deposit();
    return dispatcher.run(routed);
  }

  /** Logs how a request ended and which attempts were made. */
  function logEnd(
    call: Call,
    { reply, routed, startedAt }: {
      reply: Reply;
      routed?: RoutedCall;
      startedAt: number;
    },
  ): void {
    const fields = () => ({
      route: routed?.route.name,
      service: routed?.route.service,
      workspace: routed?.authenticated ? routed.workspace : undefined,
      outcome: reply.outcome,
      status: reply.status,
      cause: reply.reason || undefined,
      server: reply.server || undefined,
      attempts: reply.attempts,
      trail: reply.trail?.join(" "),
      ms: Math.round(timer.now() - startedAt),
      left_ms: routed && Math.round(routed.deadlineAt - timer.now()),
      retry_after_ms: reply.retryAfterMs && Math.round(reply.retryAfterMs),
      left: call.signal.cancelled || undefined,
      version: directory.version,
    });
    if (reply.outcome === "ran") {
      log.logSample("request.answered", call.requestId, fields);
    } else if (call.signal.cancelled || reply.outcome === "not_run") {
      log.logFrequentFailure("request.not_answered", call.requestId, fields);
    } else {
      log.logFailure("request.not_answered", call.requestId, fields());
    }
  }

  function record(
    call: Call,
    end: { reply: Reply; routed?: RoutedCall; startedAt: number },
  ): void {
    const { reply, routed, startedAt } = end;
    metrics.request({
      workspace: routed?.workspace ?? DEFAULT_WORKSPACE,
      class: routed?.settings.class ?? "(none)",
      latencyMs: timer.now() - startedAt,
      outcome: reply.outcome,
    });
    logEnd(call, end);
    const kind = reply.outcome === "ran"
      ? "answered"
      : reply.outcome === "not_run"
      ? "refused"
      : "unknown";
    options.recorder.record({
      kind,
      requestId: call.requestId,
      key: headerValue(call.headers, IDEMPOTENCY_KEY_HEADER) ?? "",
      workspace: routed?.authenticated ? routed.workspace : "",
      service: routed?.route.service ?? "",
      server: reply.server,
      outcome: reply.outcome,
      cause: reply.reason,
    });
  }

  async function handle(call: Call): Promise<Reply> {
    const startedAt = call.arrivedAt ?? timer.now();
    inFlight++;
    let routed: RoutedCall | undefined;
    let reply: Reply;
    try {
      const found = await resolveCall(call);
      if ("call" in found) {
        routed = found;
        reply = await dispatch(found);
      } else {
        reply = found;
      }
    } catch (error) {
      // After an internal error, it is unknown whether the request ran.
      reply = unknownReply(String(error), 0);
      metrics.count("internal_errors");
    } finally {
      inFlight--;
    }
    record(call, { reply, routed, startedAt });
    return reply;
  }

  return {
    handle,
    hints,
    get inFlight() {
      return inFlight;
    },
  };
}
