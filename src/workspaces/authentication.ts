/**
 * Authentication of callers' requests: finds the workspace to which the key of a
 * request belongs, and refuses requests with keys that are unknown or withdrawn. It
 * runs for each request of a site with workspaces, so a known key costs one digest
 * and one look-up, and control is asked only in doubt.
 * @module
 */
import { type HeaderList, headerValue } from "../core/headers.ts";
import type { Random } from "../core/random.ts";
import type { Call, Reply } from "../ingress/call.ts";
import { notRunReply } from "../ingress/call.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { RefusalReason } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import type { ViewAge } from "../node/view_age.ts";
import {
  MAX_WORKSPACE_KEY_LENGTH,
  type RoutePolicy,
} from "../settings/site.ts";
import type { Timer } from "../time/timer.ts";
import { digestHeaderValue } from "./key_digest.ts";
import { createKeyQuery } from "./key_query.ts";
import type { WorkspaceLimits } from "./workspace_directory.ts";

/** A request with the workspace that it belongs to. */
export interface Identity {
  /** The request without the headers that only the system may set or read. */
  call: Call;
  workspace: string;
  workspaceRank: number;
  /** Whether a key has proved that the request belongs to the workspace. */
  authenticated: boolean;
}

/** Finds the workspaces of requests. */
export interface Authentication {
  /** Returns the identity of a request, or the reply that refuses it. */
  identify(
    call: Call,
    route: RoutePolicy,
  ): Identity | Reply | Promise<Identity | Reply>;
}

/** The sync of the node with control, as authentication needs it. */
export interface KeySource {
  /** Whether a quorum has confirmed the view since this process started. */
  readonly confirmed: boolean;
  readonly age: Pick<ViewAge, "ms" | "failedMs">;
  confirmNow(): Promise<boolean>;
  /** Adds a listener that is called after each sync that brought a view. */
  onSynced(listener: () => void): void;
}

/** Options of {@link createAuthentication}. */
export interface AuthenticationOptions {
  directory: Directory;
  sync: KeySource;
  timer: Timer;
  random: Random;
  metrics: Metrics;
}

/** Why a request is refused; the values of a counter's label. */
type Cause = "missing" | "malformed" | "unknown" | "unverified" | "not_ready";

/** Workspace of requests that belong to no other one. */
export const DEFAULT_WORKSPACE = "default";
const DEFAULT_WORKSPACE_RANK = 0;
/** Longest name of a workspace that a caller names itself, in characters. */
const MAX_NAME_LENGTH = 64;
/**
 * Age of the view, in sync intervals, from which it may lack a version that has to
 * be in force. The next sync is due after at most 1.1 intervals, and a withdrawal
 * is in force within 3.
 */
const FRESH_SYNCS = 2.8;
/**
 * Time for which a sync with a replica that does not answer goes on, in
 * milliseconds.
 */
const SYNC_TIMEOUT_MS = 1_000;
/**
 * Shortest and longest time after which a request should come back that could not be
 * authenticated, in milliseconds.
 */
const RETRY_AFTER_MS = [300, 900] as const;

const HINTS: Record<"missing" | "malformed" | "unknown", string> = {
  missing: "send the key of a workspace",
  malformed: "send exactly one key",
  unknown: "the key is unknown or withdrawn; send a valid key",
};

/** Returns the headers that are not in `names`. */
function withoutHeaders(
  headers: HeaderList,
  names: readonly string[],
): HeaderList {
  return headers.filter(([name]) => !names.includes(name));
}

/** Returns the key of a request; `undefined` if there is not one valid key. */
function readKey(values: readonly string[]): string | undefined {
  const [key] = values;
  return values.length === 1 && key.length > 0 &&
      key.length <= MAX_WORKSPACE_KEY_LENGTH
    ? key
    : undefined;
}

/** Creates the authentication of a node. */
export function createAuthentication(
  options: AuthenticationOptions,
): Authentication {
  const { directory, sync, timer, random, metrics } = options;
  const query = createKeyQuery({
    timer,
    confirm: sync.confirmNow,
    onQuery: () => metrics.count("key_queries"),
  });
  sync.onSynced(query.recheck);

  function limits() {
    return directory.global!.limits;
  }

  function countRefusal(cause: Cause): void {
    metrics.countBy("authentication_refusals", {
      name: "reason",
      value: cause,
    });
  }

  /** Refuses a request that does not prove its workspace. */
  function refuse(cause: keyof typeof HINTS): Reply {
    countRefusal(cause);
    const { header } = limits().authentication;
    const reply = notRunReply("unknown_key");
    return {
      ...reply,
      headers: [
        ...reply.headers,
        ["www-authenticate", `ApiKey header="${header}"`],
      ],
      body: new TextEncoder().encode(
        `not run: unknown_key: ${HINTS[cause]} in the header ${header}\n`,
      ),
    };
  }

  /** Refuses a request whose key cannot be checked at present. */
  function postpone(cause: "unverified" | "not_ready"): Reply {
    countRefusal(cause);
    const [shortest, longest] = RETRY_AFTER_MS;
    const retryAfterMs = shortest + (longest - shortest) * random.fraction();
    const reason: RefusalReason = cause === "not_ready"
      ? "not_ready"
      : "key_unverified";
    return notRunReply(reason, { attempts: 0, retryAfterMs });
  }

  function accept(call: Call, owner: WorkspaceLimits): Identity {
    return {
      call,
      workspace: owner.name,
      workspaceRank: owner.rank ?? DEFAULT_WORKSPACE_RANK,
      authenticated: true,
    };
  }

  function acceptKeyless(call: Call): Identity {
    // A workspace of that name does not answer for requests without its keys.
    const isTaken = directory.workspace(DEFAULT_WORKSPACE) !== undefined;
    return {
      call,
      workspace: isTaken ? "" : DEFAULT_WORKSPACE,
      workspaceRank: DEFAULT_WORKSPACE_RANK,
      authenticated: false,
    };
  }

  /**
   * Identity at a site without workspaces: callers name them, without proof. A key
   * is removed all the same, since the node may not know yet that there are some.
   */
  function acceptNamed(call: Call): Identity {
    const { tenant_header: named, authentication: { header } } = limits();
    const { headers } = call;
    const name = headerValue(headers, named) ?? DEFAULT_WORKSPACE;
    return {
      call: headerValue(headers, header) === undefined
        ? call
        : { ...call, headers: withoutHeaders(headers, [header]) },
      workspace: name.slice(0, MAX_NAME_LENGTH),
      workspaceRank: DEFAULT_WORKSPACE_RANK,
      authenticated: false,
    };
  }

  /** Longest age of the view with which keys are accepted without a query. */
  function freshMs(): number {
    const { timeouts, authentication } = limits();
    return Math.min(
      FRESH_SYNCS * timeouts.sync_ms,
      authentication.strict_revocation
        ? authentication.revocation_ms
        : Infinity,
    );
  }

  /**
   * Whether control cannot be reached, as opposed to a node that stood still: while
   * syncs fail, one has begun not long ago.
   */
  function hasLostControl(): boolean {
    const recentMs = FRESH_SYNCS * limits().timeouts.sync_ms + SYNC_TIMEOUT_MS;
    return sync.age.failedMs <= recentMs;
  }

  /** Whether strict revocation refuses all requests with a key. */
  function isOutOfContact(): boolean {
    const { strict_revocation: strict, revocation_ms: ms } =
      limits().authentication;
    return strict && sync.age.ms > ms;
  }

  function isFresh(): boolean {
    return sync.age.ms <= freshMs();
  }

  /**
   * Decides about a key by what control says. While control is out of reach, the
   * node goes on with the keys that it knows; a node that stood still does not,
   * until it has heard of control or has tried in vain.
   */
  async function identifyInDoubt(
    call: Call,
    digest: string,
  ): Promise<Identity | Reply> {
    const findOwner = () => directory.workspaces.findOwner(digest);
    const isLost = !isFresh() && hasLostControl();
    const confirmed = !isLost &&
      await query.run(() => isFresh() && findOwner() !== undefined);
    const owner = findOwner();
    if (confirmed) {
      return owner ? accept(call, owner) : refuse("unknown");
    }
    const mayGoOn = !isOutOfContact() && (isFresh() || hasLostControl());
    return owner && mayGoOn ? accept(call, owner) : postpone("unverified");
  }

  function identifyByKey(
    call: Call,
    values: readonly string[],
  ): Identity | Reply | Promise<Identity | Reply> {
    const key = readKey(values);
    if (key === undefined) {
      return refuse("malformed");
    }
    const digest = digestHeaderValue(key);
    const owner = directory.workspaces.findOwner(digest);
    return owner && isFresh()
      ? accept(call, owner)
      : identifyInDoubt(call, digest);
  }

  return {
    identify(call, route) {
      const { workspaces, lacksWorkspaces } = directory;
      if (workspaces.revision === 0 && !lacksWorkspaces) {
        return acceptNamed(call);
      }
      if (lacksWorkspaces || !sync.confirmed) {
        return postpone("not_ready");
      }
      const { authentication: { header, keyless }, tenant_header: named } =
        limits();
      const values = call.headers.filter(([name]) => name === header)
        .map(([, value]) => value);
      const stripped = {
        ...call,
        headers: withoutHeaders(call.headers, [header, named]),
      };
      if (route.public) {
        return acceptKeyless(stripped);
      }
      if (values.length > 0) {
        return identifyByKey(stripped, values);
      }
      // A site whose last workspace was removed has no key to ask for.
      return keyless === "refuse" && workspaces.size > 0
        ? refuse("missing")
        : acceptKeyless(stripped);
    },
  };
}
