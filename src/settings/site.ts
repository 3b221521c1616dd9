/**
 * The schema of a site: what the base file and an overlay state together.
 * Every default of the product's behaviour is in this file.
 * @module
 */
import { z } from "zod";

/** Longest time for an answer, whatever a route or a caller names. */
export const LONGEST_TIMEOUT_MS = 600_000;

const ratio = z.number().min(0).max(1);
const milliseconds = z.number().positive();
const count = z.number().int().min(0);

/** Limits on what measuring load may cost. */
const measuringSchema = z.strictObject({
  probes_per_server_per_s: z.number().min(0).default(0.5)
    .describe("Probes that all nodes together may send to a backend server"),
  probes_per_node_per_s: z.number().min(0).default(5)
    .describe("Probes that one node may send over the network"),
  load_stale_after_ms: milliseconds.default(200)
    .describe("Age at which a load report carried on an answer counts half"),
});

/** Limits on attempts after the first. */
const retrySchema = z.strictObject({
  budget_ratio: ratio.default(0.1)
    .describe("Retries of work that may have run, per request"),
  budget_reserve: z.number().min(0).optional()
    .describe("Retries and hedges that all nodes together have in reserve"),
  max_attempts: z.number().int().min(1).max(10).default(4)
    .describe("Attempts of one request, the first included"),
  hedge_budget_ratio: ratio.default(0.05)
    .describe("Hedged attempts per request"),
  hedge_quantile: ratio.default(0.99)
    .describe("Latency quantile of the class after which a hedge is sent"),
  hedge_median_factor: z.number().min(1).default(3)
    .describe("Multiple of the median after which a hedge is sent, if sooner"),
});

/** How long a process waits for its peers. */
const timeoutSchema = z.strictObject({
  connect_ms: milliseconds.default(250)
    .describe("Longest wait for a new connection"),
  silence_ms: milliseconds.default(400)
    .describe("Silence of a guard after which it is asked whether it is lost"),
  keepalive_ms: milliseconds.default(100)
    .describe("Interval of signs of life while an attempt runs"),
  idle_ping_ms: milliseconds.default(1_000)
    .describe("Idle time after which a connection is pinged"),
  sync_ms: milliseconds.default(1_000)
    .describe("Interval at which a node asks control for news"),
  lease_ms: milliseconds.default(5_000)
    .describe("Lease of a member that no longer renews"),
  drain_ms: milliseconds.default(30_000)
    .describe("Longest wait for requests in flight at a planned stop"),
  linger_ms: milliseconds.default(1_500)
    .describe("Time a leaving node goes on taking calls while others hear"),
});

/** Limits on callers' connections. */
const callerSchema = z.strictObject({
  header_ms: milliseconds.default(10_000)
    .describe("Longest time for a request's headers to arrive"),
  idle_ms: milliseconds.default(30_000)
    .describe("Time for which an idle connection stays open"),
});

/** Limits on run-at-most-once claims. */
const claimSchema = z.strictObject({
  keep_ms: milliseconds.default(86_400_000)
    .describe("Time for which a key stays claimed"),
  max_claims: z.number().int().positive().default(200_000)
    .describe("Claims kept at once; keyed requests past it are refused"),
});

/** Limits on requests that crash backend servers. */
const quarantineSchema = z.strictObject({
  crashes: z.number().int().min(1).default(2)
    .describe("Crashes after which a request is refused as not run"),
  keep_ms: milliseconds.default(600_000)
    .describe("Time for which a quarantine lasts"),
});

/** How the requests of a route are treated. */
export const routePolicySchema = z.strictObject({
  class: z.string().min(1)
    .describe("Name under which latency is shown"),
  repeatable: z.boolean()
    .describe("Whether running the request twice is harmless"),
  key: z.enum(["none", "optional", "required"]).default("none")
    .describe("Whether callers send an Idempotency-Key"),
  deadline_ms: milliseconds.default(2_000)
    .describe("Longest time for an answer"),
  objective_ms: milliseconds.optional()
    .describe("Time within which an answer is worth most"),
  rank: count.default(0)
    .describe("Rank when not all can be served; 0 goes first"),
  max_attempts: z.number().int().min(1).max(10).optional()
    .describe("Backend servers that one request may reach"),
  hedge: z.boolean().default(false)
    .describe("Whether a slow attempt may be hedged"),
  max_body_bytes: count.default(1_048_576)
    .describe("Largest request body"),
});
/** How the requests of a route are treated. */
export type RoutePolicy = z.infer<typeof routePolicySchema>;

/** One route of a service, found by method and path pattern. */
export const routeSchema = routePolicySchema.extend({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])
    .default("GET"),
  path: z.string().startsWith("/")
    .describe("Path pattern in find-my-way's syntax"),
});

/** One route of a service. */
export type Route = z.infer<typeof routeSchema>;

const targetSchema = z.strictObject({
  service: z.string().min(1),
  weight: z.number().min(0).default(1)
    .describe("Share of the route's requests, relative to the others"),
});

/** A service and its share of a route's requests. */
export type Target = z.infer<typeof targetSchema>;

/** One route of the site, found by host and the longest path prefix. */
export const prefixRouteSchema = routePolicySchema.extend({
  host: z.string().min(1).toLowerCase()
    .describe("Host that callers name, without a port"),
  prefix: z.string().regex(/^\/(.*\/)?$/)
    .describe("Path prefix that begins and ends with a slash"),
  targets: z.array(targetSchema).min(1)
    .describe("Services that share the requests"),
});

/** One route of the site. */
export type PrefixRoute = z.infer<typeof prefixRouteSchema>;

/** One service and how its backend servers are to be treated. */
export const serviceSchema = z.strictObject({
  team: z.string().min(1).describe("Team that may change the service"),
  slots: z.number().int().positive().default(16)
    .describe("Requests that one backend server runs at once"),
  connections: z.number().int().positive().default(256)
    .describe("Connections that one backend server accepts"),
  health_path: z.string().startsWith("/").default("/health")
    .describe("Path of the health check"),
  cold_limit: z.number().int().positive().default(2)
    .describe("Requests that a cold backend server runs at once"),
  cold_rate_per_s: z.number().positive().optional()
    .describe("Requests a second that a cold backend server bears"),
  cold_ms: milliseconds.optional()
    .describe("Time for which a started backend server stays cold"),
  ramp_completions: z.number().int().positive().default(12)
    .describe("Timely completions per slot that multiply a cold limit by e"),
  queue_limit: count.default(16)
    .describe("Requests that wait at a guard at most"),
  queue_wait_ms: milliseconds.default(50)
    .describe("Longest wait at a guard"),
  slow_factor: z.number().min(1).default(4)
    .describe("Multiple of the usual latency that counts as late"),
  shed_means_not_run: z.boolean().default(false)
    .describe("Whether the server's own 503 proves that nothing ran"),
  routes: z.record(z.string(), routeSchema).default({}),
});
/** One service and how its backend servers are to be treated. */
export type Service = z.infer<typeof serviceSchema>;

/** A whole site. */
export const siteSchema = z.strictObject({
  name: z.string().min(1).describe("Name of the site"),
  domains: z.array(z.string().min(1)).min(1)
    .describe("Failure domains of the site"),
  tenant_header: z.string().default("mustardcross-tenant")
    .describe("Request header that names the tenant"),
  measuring: measuringSchema.prefault({}),
  retry: retrySchema.prefault({}),
  timeouts: timeoutSchema.prefault({}),
  callers: callerSchema.prefault({}),
  claims: claimSchema.prefault({}),
  quarantine: quarantineSchema.prefault({}),
  services: z.record(z.string().regex(/^[a-z0-9][\w.-]*$/i), serviceSchema),
  routes: z.record(z.string(), prefixRouteSchema).default({}),
});
/** A whole site, with every default filled in. */
export type Site = z.infer<typeof siteSchema>;
