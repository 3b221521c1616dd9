/**
 * The schema of scenario files: TOML files that list timed actions and the
 * requirements that must hold at the end. docs/scenarios.md describes them.
 * @module
 */
import { z } from "zod";

const timeMs = z.number().min(0);
const link = z.tuple([z.string(), z.string()]);

/** Actions that take place at one point in time. */
const stepSchema = z.strictObject({
  /** Milliseconds since the end of the warm-up. */
  at: timeMs,
  /** Sends calls at a constant rate per second. */
  load: z.strictObject({
    rate: z.number().positive(),
    for_ms: z.number().positive(),
    path: z.string(),
    method: z.enum(["GET", "POST"]).default("GET"),
    tenant: z.string().optional(),
    via: z.string().optional(),
  }).optional(),
  /** Sends one call. */
  call: z.strictObject({
    name: z.string(),
    via: z.string(),
    path: z.string(),
    method: z.enum(["GET", "POST"]).default("GET"),
    key: z.string().optional(),
    body: z.string().optional(),
    leaves_after_ms: z.number().optional(),
  }).optional(),
  crash_server: z.string().optional(),
  start_server: z.string().optional(),
  leave_server: z.string().optional(),
  turn_cold: z.string().optional(),
  hang_server: z.string().optional(),
  slow: z.strictObject({ server: z.string(), factor: z.number() }).optional(),
  fail: z.strictObject({ server: z.string(), status: z.number() }).optional(),
  cut_bodies: z.string().optional(),
  /** Makes every request whose path contains the text crash its server. */
  poison: z.string().optional(),
  kill_node: z.string().optional(),
  start_node: z.string().optional(),
  stop_node: z.string().optional(),
  kill_leader: z.literal(true).optional(),
  kill_control: z.string().optional(),
  start_control: z.string().optional(),
  lose_disk: z.string().optional(),
  /** Cuts connections and RPC between two hosts, in both directions. */
  cut: link.optional(),
  heal: link.optional(),
  /** Drops what the first host sends to the second, but not the reverse. */
  cut_one_way: link.optional(),
  /** Makes the open connections between two nodes silent permanently. */
  silence: link.optional(),
  domain_out: z.string().optional(),
  domain_back: z.string().optional(),
  server_out: z.string().optional(),
  server_back: z.string().optional(),
});
/** Actions that take place at one point in time. */
export type Step = z.infer<typeof stepSchema>;

/** A requirement that is checked at the end of a scenario. */
const requirementSchema = z.strictObject({
  /** The outcome of a named call is one of these. */
  outcome: z.strictObject({
    call: z.string(),
    is: z.array(z.enum(["ran", "not_run", "unknown"])),
    reason: z.string().optional(),
    status: z.number().optional(),
  }).optional(),
  /** Number of starts of requests with a key, over all servers. */
  runs: z.strictObject({
    key: z.string(),
    least: z.number().default(0),
    most: z.number(),
  }).optional(),
  /** Greatest number of servers that are down at the end. */
  crashes: z.strictObject({ most: z.number() }).optional(),
  /** No request starts at these servers within a time window. */
  no_work: z.strictObject({
    domain: z.string().optional(),
    server: z.string().optional(),
    from: timeMs,
    to: timeMs,
  }).optional(),
  /** Share of the calls started in a window that ended with status 200. */
  answered: z.strictObject({
    from: timeMs,
    to: timeMs,
    least: z.number().min(0).max(1),
    tenant: z.string().optional(),
  }).optional(),
  /** Latency quantile of the calls started in a window. */
  latency: z.strictObject({
    from: timeMs,
    to: timeMs,
    quantile: z.number(),
    most_ms: z.number(),
  }).optional(),
  /** One server's share of the executions started in a window. */
  share: z.strictObject({
    server: z.string(),
    from: timeMs,
    to: timeMs,
    most: z.number().optional(),
    least: z.number().optional(),
  }).optional(),
  /** Greatest number of concurrent requests at a server while it was cold. */
  cold_peak: z.strictObject({
    server: z.string(),
    most: z.number(),
  }).optional(),
  /** The server is up at the end. */
  up: z.string().optional(),
  /** Every live node has the newest configuration version at the end. */
  in_force: z.literal(true).optional(),
  /** Greatest number of probes and health checks per server and second. */
  probes: z.strictObject({ most_per_server_per_s: z.number() }).optional(),
});
/** A requirement that is checked at the end of a scenario. */
export type Requirement = z.infer<typeof requirementSchema>;

/** Mechanisms that a run can disable, each at an interface of the product. */
export const mechanismSchema = z.enum([
  "fence",
  "claims",
  "withdrawal",
  "leaving",
  "drain",
  "suspicion",
  "turn_away",
  "confirmed_start",
  "version_gossip",
]);
/** A mechanism that a run can disable. */
export type Mechanism = z.infer<typeof mechanismSchema>;

/** A scenario, as its TOML file describes it. */
export const scenarioSchema = z.strictObject({
  name: z.string(),
  promises: z.array(z.enum([
    ...(["P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9"] as const),
  ])),
  seed: z.number().int(),
  for_ms: z.number().positive(),
  /** Duration of light load before the first step, which warms the servers. */
  warm_up_ms: z.number().min(0).default(0),
  servers: z.number().int().positive().default(4),
  domains: z.array(z.string()).default(["east", "north", "west"]),
  shape: z.strictObject({
    slots: z.number().default(8),
    mean_ms: z.number().default(5),
    cold_completions: z.number().default(0),
    cold_factor: z.number().default(4),
    cold_bears: z.number().default(1_000),
  }).prefault({}),
  /** Settings that override those shared by all scenarios. */
  site: z.record(z.string(), z.unknown()).default({}),
  steps: z.array(stepSchema),
  musts: z.array(requirementSchema),
  /** Disables the mechanism under test; a requirement must then fail. */
  off: z.strictObject({
    site: z.record(z.string(), z.unknown()).default({}),
    without: z.array(mechanismSchema).default([]),
  }),
});
/** A scenario, as its TOML file describes it. */
export type Scenario = z.infer<typeof scenarioSchema>;
