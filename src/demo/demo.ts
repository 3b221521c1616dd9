/**
 * Runs the whole system of one site in one process: control replicas, nodes and
 * stand-in backend servers on the loopback interface. Under a light load, the
 * demo withdraws a failure domain, restores it, and stops a node gracefully.
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Agent, request } from "undici";
import type { Action } from "../control/commands.ts";
import { createSeededRandom, type Random } from "../core/random.ts";
import { silentLogger } from "../core/logger.ts";
import { StepError } from "../core/errors.ts";
import { createMetrics } from "../metrics/metrics.ts";
import type { Outcome } from "../network/frames.ts";
import { type MustardcrossProcess, startProcess } from "../process.ts";
import { formatSettingsError } from "../settings/settings_error.ts";
import { loadSite } from "../settings/load.ts";
import type { ProcessSettings } from "../settings/process.ts";
import type { Site } from "../settings/site.ts";
import {
  type BackendServer,
  startBackendServer,
} from "../standin/backend_server.ts";
import { createSystemTimer, sleep } from "../time/timer.ts";
import { findFreePorts } from "./ports.ts";
import { type DemoSite, getDemoSite } from "./sites.ts";

/** Results of a demo. `mustardcross demo --json` prints these field names. */
export interface DemoResults {
  site: string;
  calls: number;
  ran: number;
  notRun: number;
  unknown: number;
  /** Calls whose connection failed before the answer was complete. */
  cut: number;
  /** Idempotency keys whose requests ran more than once. */
  repeated: number;
  /**
   * Requests that ran in the withdrawn domain once `PROPAGATION_MS` had passed
   * since the withdrawal.
   */
  afterWithdrawal: number;
  classes: { class: string; count: number; p50: number; p99: number }[];
}

const HOST = "127.0.0.1";
const CONTROL_REPLICAS = 3;
const SEED = 7;
const CALLS_PER_SECOND = 150;
const PHASE_MS = 3_000;
/** Time within which a withdrawal reaches all nodes. */
const PROPAGATION_MS = 2_000;
const READY_TIMEOUT_MS = 15_000;
const MEAN_WORK_MS = 4;
const COLD_REQUESTS = 30;
const EXAMPLES_PATH = "../../../examples";

function loadExampleSite(name: string): Site {
  const folder = join(dirname(fileURLToPath(import.meta.url)), EXAMPLES_PATH);
  const loaded = loadSite(
    join(folder, "base.toml"),
    join(folder, `${name}.toml`),
  );
  if (loaded.isErr()) {
    throw new StepError(
      "demo.site",
      loaded.error.map(formatSettingsError).join("; "),
    );
  }
  return loaded.value.site;
}

interface Fleet {
  controls: MustardcrossProcess[];
  nodes: { process: MustardcrossProcess; settings: ProcessSettings }[];
  backends: { server: BackendServer; domain: string }[];
  /** URLs at which the nodes accept callers' requests. */
  callers: string[];
}

async function startControls(
  folder: string,
  addresses: string[],
): Promise<MustardcrossProcess[]> {
  const tokenFile = join(folder, "tokens");
  writeFileSync(tokenFile, "demo demo-token\n");
  const founders = Object.fromEntries(
    addresses.map((address, index) => [`control${index + 1}`, address]),
  );
  return await Promise.all(addresses.map((address, index) =>
    startProcess({
      vm: `control${index + 1}`,
      domain: "control",
      region: "default",
      control_addresses: addresses,
      control: {
        rpc_address: address,
        admin_address: `${HOST}:0`,
        token_file: tokenFile,
        data: join(folder, `control${index + 1}`),
        founders,
        may_found: true,
      },
    }, { logger: silentLogger })
  ));
}

async function startFleet(
  site: DemoSite,
  options: { folder: string; domains: string[] },
): Promise<Fleet> {
  const { folder, domains } = options;
  const [...controlPorts] = await findFreePorts(CONTROL_REPLICAS);
  const addresses = controlPorts.map((port) => `${HOST}:${port}`);
  const controls = await startControls(folder, addresses);
  const fleet: Fleet = { controls, nodes: [], backends: [], callers: [] };
  let index = 0;
  for (const [service, size] of Object.entries(site.servers)) {
    for (let number = 0; number < size.count; number++) {
      const [peer, local, caller] = await findFreePorts(3);
      const domain = domains[index % domains.length];
      const settings: ProcessSettings = {
        vm: `vm${index + 1}`,
        domain,
        region: "default",
        control_addresses: addresses,
        node: {
          peer_address: `${HOST}:${peer}`,
          local_address: `${HOST}:${local}`,
          caller_address: `${HOST}:${caller}`,
        },
      };
      const process = await startProcess(settings, { logger: silentLogger });
      fleet.nodes.push({ process, settings });
      fleet.callers.push(`http://${HOST}:${caller}`);
      const server = await startBackendServer({
        service,
        address: `${HOST}:0`,
        nodeAddress: `${HOST}:${local}`,
        seed: SEED + index,
        slots: size.slots,
        connections: size.connections,
        meanMs: MEAN_WORK_MS,
        coldRequests: COLD_REQUESTS,
      });
      fleet.backends.push({ server, domain });
      index++;
    }
  }
  return fleet;
}

/**
 * Submits a change until it is accepted, and returns the configuration's
 * version. The retries share a change id, so that the change is made only once.
 */
async function submitChange(fleet: Fleet, action: Action): Promise<number> {
  const timer = createSystemTimer();
  const deadline = timer.now() + READY_TIMEOUT_MS;
  const control = fleet.controls[0].control!;
  const changeId = `demo-${action.kind}`;
  while (timer.now() < deadline) {
    const reply = await control.change({
      kind: "change",
      changeId,
      operator: "demo",
      against: control.state.version,
      force: false,
      wallTime: timer.wallTime(),
      action,
    });
    if (reply.kind === "done" && reply.value.kind === "accepted") {
      return reply.value.version;
    }
    await sleep(timer, 100);
  }
  throw new StepError(
    "demo.change",
    `${action.kind} was not accepted`,
  );
}

async function waitUntilReady(fleet: Fleet): Promise<void> {
  const timer = createSystemTimer();
  const deadline = timer.now() + READY_TIMEOUT_MS;
  const control = fleet.controls[0].control!;
  while (timer.now() < deadline) {
    const ready = fleet.nodes.every(({ process }) => process.node!.ready);
    if (ready && control.state.members().length === fleet.backends.length) {
      return;
    }
    await sleep(timer, 50);
  }
  throw new StepError(
    "demo.ready",
    "nodes or backend servers did not become ready in time",
  );
}

interface CallCounts {
  calls: number;
  outcomes: Record<Outcome, number>;
  /** Calls whose connection failed before the answer was complete. */
  cut: number;
}

/** Sends calls at `CALLS_PER_SECOND` to random nodes for `durationMs`. */
async function runLoad(
  site: DemoSite,
  options: {
    fleet: Fleet;
    random: Random;
    durationMs: number;
    counts: CallCounts;
    metrics: ReturnType<typeof createMetrics>;
    agent: Agent;
  },
): Promise<void> {
  const { fleet, random, durationMs, counts, metrics, agent } = options;
  const timer = createSystemTimer();
  const calls: Promise<void>[] = [];

  async function callOnce(): Promise<void> {
    const caller = fleet.callers[random.integer(fleet.callers.length)];
    const call = site.calls[random.integer(site.calls.length)];
    const startedAt = timer.now();
    counts.calls++;
    try {
      const answer = await request(caller + call.path(random), {
        method: call.method,
        dispatcher: agent,
        headers: call.keyed ? { "idempotency-key": random.identifier() } : {},
        body: call.method === "POST" ? "amount=1" : undefined,
      });
      await answer.body.arrayBuffer();
      const outcome = answer.headers["mustardcross-outcome"] as Outcome;
      counts.outcomes[outcome]++;
      metrics.request({
        workspace: "demo",
        class: call.class,
        latencyMs: timer.now() - startedAt,
        outcome,
      });
    } catch {
      counts.cut++;
    }
  }

  const until = timer.now() + durationMs;
  while (timer.now() < until) {
    calls.push(callOnce());
    await sleep(timer, 1_000 / CALLS_PER_SECOND);
  }
  await Promise.all(calls);
}

function countRequests(fleet: Fleet, domain: string): number {
  return fleet.backends
    .filter((backend) => backend.domain === domain)
    .flatMap((backend) => [...backend.server.runs.values()])
    .reduce((sum, runs) => sum + runs, 0);
}

function countRepeatedKeys(fleet: Fleet): number {
  const runs = new Map<string, number>();
  for (const { server } of fleet.backends) {
    for (const [key, count] of server.runs) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return [...runs].filter(([key, count]) => !key.startsWith("/") && count > 1)
    .length;
}

async function stopFleet(fleet: Fleet): Promise<void> {
  await Promise.all(fleet.backends.map(({ server }) => server.leave()));
  await Promise.all(fleet.nodes.map(({ process }) => process.stop()));
  for (const control of fleet.controls) {
    await control.stop();
  }
}

/** Runs the demo of an example site and prints its progress and results. */
export async function runDemo(
  options: { site: string; print: (line: string) => void },
): Promise<DemoResults> {
  const { print } = options;
  const demoSite = getDemoSite(options.site);
  const site = loadExampleSite(options.site);
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-demo-"));
  const random = createSeededRandom(SEED);
  const metrics = createMetrics();
  const agent = new Agent({ connections: 64 });
  const counts: CallCounts = {
    calls: 0,
    outcomes: { ran: 0, not_run: 0, unknown: 0 },
    cut: 0,
  };
  print(
    `Starting ${CONTROL_REPLICAS} control replicas and the nodes of ${site.name}.`,
  );
  const fleet = await startFleet(demoSite, { folder, domains: site.domains });
  try {
    const version = await submitChange(fleet, { kind: "configure", site });
    print(`The configuration is accepted as version ${version}.`);
    await waitUntilReady(fleet);
    print(`${fleet.backends.length} backend servers are registered.`);
    const loadOptions = { fleet, random, counts, metrics, agent };
    await runLoad(demoSite, { ...loadOptions, durationMs: PHASE_MS });
    print(
      `Steady load: ${counts.calls} calls, ${counts.outcomes.ran} answered.`,
    );

    const domain = site.domains[1];
    await submitChange(fleet, { kind: "domain_out", domain });
    print(`The failure domain ${domain} is withdrawn; the load continues.`);
    await runLoad(demoSite, { ...loadOptions, durationMs: PROPAGATION_MS });
    const requestsBefore = countRequests(fleet, domain);
    await runLoad(demoSite, { ...loadOptions, durationMs: PHASE_MS });
    const afterWithdrawal = countRequests(fleet, domain) - requestsBefore;
    print(
      `Requests run in ${domain} from two seconds after its withdrawal on: ${afterWithdrawal}.`,
    );

    await submitChange(fleet, { kind: "domain_back", domain });
    print(`The failure domain ${domain} is restored; its servers are cold.`);
    await runLoad(demoSite, { ...loadOptions, durationMs: PHASE_MS });

    const stopped = fleet.nodes.splice(-1)[0];
    const callers = fleet.callers.splice(-1);
    const leaving = fleet.backends.splice(-1)[0];
    const running = runLoad(demoSite, { ...loadOptions, durationMs: PHASE_MS });
    await leaving.server.leave();
    await stopped.process.stop();
    await running;
    // The server that left counts in the results, but must not leave again.
    fleet.backends.push(leaving);
    print(`The node at ${callers[0]} was stopped gracefully under load.`);

    const results: DemoResults = {
      site: site.name,
      calls: counts.calls,
      ran: counts.outcomes.ran,
      notRun: counts.outcomes.not_run,
      unknown: counts.outcomes.unknown,
      cut: counts.cut,
      repeated: countRepeatedKeys(fleet),
      afterWithdrawal,
      classes: metrics.summaries().map(({ class: name, count, p50, p99 }) => ({
        class: name,
        count,
        p50,
        p99,
      })),
    };
    printResults(results, print);
    fleet.backends.pop();
    return results;
  } finally {
    await stopFleet(fleet);
    await agent.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

function printResults(
  results: DemoResults,
  print: (line: string) => void,
): void {
  print("");
  print(`Results of ${results.site}: ${results.calls} calls`);
  print(
    `  ran ${results.ran}, not run ${results.notRun}, unknown ${results.unknown}`,
  );
  print(
    `  cut answers ${results.cut}, idempotency keys run more than once ${results.repeated}`,
  );
  for (const { class: name, count, p50, p99 } of results.classes) {
    print(
      `  ${name}: ${count} calls, p50 ${p50.toFixed(1)} ms, p99 ${
        p99.toFixed(1)
      } ms`,
    );
  }
}
