/**
 * Schema of a site's settings: the merged content of a base file and an
 * overlay. All defaults of the product's behaviour are in this file.
 * @module
 */
import { z } from "zod";

/** Upper bound on request timeouts, whatever a route or a caller asks for. */
export const MAX_TIMEOUT_MS = 600_000;

/** Most attempts that one request makes, whatever a route allows. */
export const MAX_ATTEMPTS = 10;

/** Longest key of a workspace, in characters. */
export const MAX_WORKSPACE_KEY_LENGTH = 256;

const ratio = z.number().min(0).max(1);
const milliseconds = z.number().positive();
const count = z.number().int().min(0);

/** Limits on the cost of load measurement. */
const measuringSchema = z.strictObject({
  probes_per_server_per_s: z.number().min(0).default(0.5)
    .describe(
      "Maximum health checks a second of a backend server, by all nodes together",
    ),
  probes_per_node_per_s: z.number().min(0).default(5)
    .describe(
      "Maximum load probes a second that one node sends over the network",
    ),
  load_stale_after_ms: milliseconds.default(200)
    .describe("Age at which a load report from an answer has half its weight"),
});

/** Limits on retries and hedged attempts. */
const retrySchema = z.strictObject({
  budget_ratio: ratio.default(0.1)
    .describe(
      "Retry budget per request, for retries of work that may have run",
    ),
  budget_reserve: z.number().min(0).optional()
    .describe("Retries and hedges that all nodes together hold in reserve"),
  max_attempts: z.number().int().min(1).max(MAX_ATTEMPTS).default(4)
    .describe("Attempts per request, including the first"),
  hedge_budget_ratio: ratio.default(0.05)
    .describe("Hedging budget per request"),
  hedge_quantile: ratio.default(0.99)
    .describe("Latency quantile of the class after which a hedge is sent"),
  hedge_median_factor: z.number().min(1).default(3)
    .describe(
      "Multiple of the median latency after which a hedge is sent, if sooner",
    ),
});

/** Timeouts and intervals of the traffic between processes. */
const timeoutSchema = z.strictObject({
  connect_ms: milliseconds.default(250)
    .describe("Timeout for opening a connection"),
  silence_ms: milliseconds.default(400)
    .describe(
      "Silence of a guard after which it is queried over a new connection",
    ),
  keepalive_ms: milliseconds.default(100)
    .describe("Interval of keepalive frames while an attempt runs"),
  idle_ping_ms: milliseconds.default(1_000)
    .describe("Idle time after which a connection is pinged"),
  sync_ms: milliseconds.default(1_000)
    .describe("Interval at which a node syncs with control"),
  lease_ms: milliseconds.default(5_000)
    .describe("Time after its last renewal at which a member's lease expires"),
  drain_ms: milliseconds.default(30_000)
    .describe("Timeout for draining requests in flight at a graceful stop"),
  linger_ms: milliseconds.default(1_500)
    .describe(
      "Time for which a stopping node accepts calls until others learn of it",
    ),
});

/** Limits on callers' connections. */
const callerSchema = z.strictObject({
  header_ms: milliseconds.default(10_000)
    .describe("Timeout for receiving a request's headers"),
  idle_ms: milliseconds.default(30_000)
    .describe("Idle timeout of a connection"),
});

/** Limits on idempotency-key claims, which make a request run at most once. */
const claimSchema = z.strictObject({
  keep_ms: milliseconds.default(86_400_000)
    .describe("Retention period of a claimed key"),
  max_claims: z.number().int().positive().default(200_000)
    .describe("Maximum claims held; further requests with a key are refused"),
});

/** Limits on requests that crash backend servers. */
const quarantineSchema = z.strictObject({
  crashes: z.number().int().min(1).default(2)
    .describe(
      "Crashes after which a request is quarantined: refused without being run",
    ),
  keep_ms: milliseconds.default(600_000)
    .describe("Duration of a quarantine"),
});

/** Schema of the policy for the requests of a route. */
export const routePolicySchema = z.strictObject({
  class: z.string().min(1)
    .describe("Request class, under which latency is measured and reported"),
  repeatable: z.boolean()
    .describe(
      "Whether the request is idempotent, so that it may run more than once",
    ),
  key: z.enum(["none", "optional", "required"]).default("none")
    .describe("Whether callers may or must send an Idempotency-Key header"),
  deadline_ms: milliseconds.default(2_000)
    .describe("Request timeout, also for an answer that has begun"),
  objective_ms: milliseconds.optional()
    .describe("Target latency"),
  rank: count.default(0)
    .describe("Priority under overload; 0 is the highest"),
  max_attempts: z.number().int().min(1).max(MAX_ATTEMPTS).optional()
    .describe("Maximum backend servers that one request is sent to"),
  hedge: z.boolean().default(false)
    .describe("Whether slow attempts are hedged"),
  max_body_bytes: count.default(1_048_576)
    .describe("Maximum size of a request body"),
  public: z.boolean().optional()
    .describe("Whether requests need no workspace key"),
});
/** Policy for the requests of a route. */
export type RoutePolicy = z.infer<typeof routePolicySchema>;

/** Schema of a service's route, which is matched by method and path pattern. */
export const routeSchema = routePolicySchema.extend({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])
    .default("GET"),
  path: z.string().startsWith("/")
    .describe("Path pattern in the syntax of find-my-way"),
});

/** Route of a service. */
export type Route = z.infer<typeof routeSchema>;

const targetSchema = z.strictObject({
  service: z.string().min(1),
  weight: z.number().min(0).default(1)
    .describe("Relative share of the route's requests"),
});

/** Service and its share of a route's requests. */
export type Target = z.infer<typeof targetSchema>;

/** Schema of a site's route, matched by host and longest path prefix. */
export const prefixRouteSchema = routePolicySchema.extend({
  host: z.string().min(1).toLowerCase()
    .describe("Host name in the request, without a port"),
  prefix: z.string().regex(/^\/(.*\/)?$/)
    .describe("Path prefix, which begins and ends with a slash"),
  targets: z.array(targetSchema).min(1)
    .describe("Services among which the requests are split"),
});

/** Route of a site. */
export type PrefixRoute = z.infer<typeof prefixRouteSchema>;

/** Schema of a service and the policy for its backend servers. */
export const serviceSchema = z.strictObject({
  team: z.string().min(1).describe(
    "Team whose operators may change the service",
  ),
  slots: z.number().int().positive().default(16)
    .describe("Maximum concurrent requests of one backend server"),
  connections: z.number().int().positive().default(256)
    .describe("Maximum connections that one backend server accepts"),
  health_path: z.string().startsWith("/").default("/health")
    .describe("Path of the health check"),
  cold_limit: z.number().int().positive().default(2)
    .describe("Maximum concurrent requests of a cold backend server"),
  cold_rate_per_s: z.number().positive().optional()
    .describe("Requests a second that a cold backend server can run"),
  cold_ms: milliseconds.optional()
    .describe("Warm-up time of a started backend server"),
  ramp_completions: z.number().int().positive().default(12)
    .describe(
      "Timely completions per slot that multiply the limit during warm-up by e",
    ),
  queue_limit: count.default(16)
    .describe("Maximum length of a guard's queue"),
  queue_wait_ms: milliseconds.default(50)
    .describe("Maximum wait in a guard's queue"),
  slow_factor: z.number().min(1).default(4)
    .describe(
      "Multiple of the usual latency above which an answer counts as late",
    ),
  shed_means_not_run: z.boolean().default(false)
    .describe("Whether a 503 from the backend server means that nothing ran"),
  routes: z.record(z.string(), routeSchema).default({}),
});
/** Service and the policy for its backend servers. */
export type Service = z.infer<typeof serviceSchema>;

/** How requests prove which workspace they belong to, if the site has any. */
const authenticationSchema = z.strictObject({
  header: z.string().regex(/^[\w!#$%&'*+.^`|~-]+$/).toLowerCase()
    .default("mustardcross-key")
    .describe("Request header that carries the key of a workspace"),
  keyless: z.enum(["serve", "refuse"]).default("refuse")
    .describe("Treatment of requests without a key on routes that need one"),
  strict_revocation: z.boolean().default(false)
    .describe(
      "Whether a node that cannot reach control refuses requests with a key",
    ),
  revocation_ms: milliseconds.default(5_000)
    .describe("Time without control after which strict revocation applies"),
});

/** Tolerances of the rate limits of workspaces, summed over all nodes. */
const quotaSchema = z.strictObject({
  window_ms: milliseconds.default(5_000)
    .describe("Sliding window in which a workspace's requests are counted"),
  excess: ratio.default(0.1)
    .describe("Tolerated excess over the limit, as a share of it"),
  slack: count.default(20)
    .describe("Tolerated excess over the limit, in requests"),
});

/** Schema of a workspace. */
export const workspaceSchema = z.strictObject({
  keys: z.array(z.string().min(1).max(MAX_WORKSPACE_KEY_LENGTH)).default([])
    .describe("Keys by which requests prove that they belong to the workspace"),
  rank: count.optional()
    .describe("Priority under overload, which goes before that of the route"),
  rate_per_s: z.number().min(0).default(0)
    .describe("Requests a second over all nodes; 0 for no limit"),
  burst: z.number().min(0).default(0)
    .describe("Requests beyond the rate that may come at once"),
});
/** Workspace with its keys and limits. */
export type Workspace = z.infer<typeof workspaceSchema>;

/** Schema of a site. */
export const siteSchema = z.strictObject({
  name: z.string().min(1).describe("Name of the site"),
  domains: z.array(z.string().min(1)).min(1)
    .describe("Failure domains of the site"),
  tenant_header: z.string().default("mustardcross-tenant")
    .describe("Request header that names the workspace"),
  measuring: measuringSchema.prefault({}),
  retry: retrySchema.prefault({}),
  timeouts: timeoutSchema.prefault({}),
  callers: callerSchema.prefault({}),
  claims: claimSchema.prefault({}),
  quarantine: quarantineSchema.prefault({}),
  authentication: authenticationSchema.prefault({}),
  quota: quotaSchema.prefault({}),
  workspaces: z.record(z.string().min(1), workspaceSchema).default({}),
  services: z.record(z.string().regex(/^[a-z0-9][\w.-]*$/i), serviceSchema),
  routes: z.record(z.string(), prefixRouteSchema).default({}),
});
/** Settings of a site, with all defaults filled in. */
export type Site = z.infer<typeof siteSchema>;
