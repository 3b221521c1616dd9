/**
 * Starts the system's processes for end-to-end tests, each on its own ports of
 * the loopback address, and ends only the processes that it started.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "../src/demo/ports.ts";

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const STAND_IN_SERVER = join(HERE, "../src/standin/main.js");
const EXAMPLES = join(HERE, "../../examples");
const TOKEN = "test-token";
/** Failure domains of the example site. */
export const DOMAINS = ["race-course", "kalavad", "jamnagar-road"];
const WAIT_TIMEOUT_MS = 30_000;
const CHECK_INTERVAL_MS = 50;

/** A process that was started, and its output. */
export interface RunningProcess {
  child: ChildProcess;
  output: string;
  /** Resolves with the exit code, or the signal that ended it. */
  exited: Promise<number | string>;
}

/** Exit code and output of a command. */
export interface CommandResult {
  code: number | string;
  stdout: string;
  stderr: string;
}

/** Returns the path of an example file. */
export function examplePath(name: string): string {
  return join(EXAMPLES, name);
}

/** Waits until a condition holds; rejects after 30 s. */
export async function eventually(
  what: string,
  condition: () => Promise<boolean> | boolean,
): Promise<void> {
  const until = Date.now() + WAIT_TIMEOUT_MS;
  while (Date.now() < until) {
    if (await condition()) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  throw new Error(`timed out waiting for: ${what}`);
}

/** Returns a process's environment without the test runner's options. */
function processEnvironment(): NodeJS.ProcessEnv {
  const { NODE_OPTIONS: _, ...rest } = process.env;
  return { ...rest, MUSTARDCROSS_TOKEN: TOKEN, NO_COLOR: "1" };
}

function startProcess(script: string, args: string[]): RunningProcess {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: processEnvironment(),
  });
  const running: RunningProcess = {
    child,
    output: "",
    exited: new Promise((resolve) => {
      child.once("exit", (code, signal) => resolve(code ?? signal ?? "none"));
    }),
  };
  const collect = (chunk: unknown): void => {
    running.output += String(chunk);
  };
  child.stdout?.on("data", collect);
  child.stderr?.on("data", collect);
  return running;
}

/** Runs a command of the command-line tool until it exits. */
export async function runCommand(args: string[]): Promise<CommandResult> {
  const child = spawn(process.execPath, [MAIN, ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: processEnvironment(),
  });
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (chunk) => {
    stdout += chunk;
  });
  child.stderr.on("data", (chunk) => {
    stderr += chunk;
  });
  const code = await new Promise<number | string>((resolve) => {
    child.once("close", (exit, signal) => resolve(exit ?? signal ?? "none"));
  });
  return { code, stdout, stderr };
}

/** A node and the backend server beside it. */
export interface FleetNode {
  vm: string;
  caller: string;
  local: string;
  process: RunningProcess;
  backend: RunningProcess;
}

/** A small site of separate processes. */
export interface Fleet {
  admin: string;
  adminAddresses: string[];
  controls: RunningProcess[];
  nodes: FleetNode[];
  /** Restarts a control replica on its data folder. */
  restartControl(index: number): void;
  /** Ends every process that was started. */
  end(): Promise<void>;
}

/** Starts three control replicas, and a node with a server per domain. */
export async function startFleet(domains: string[]): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-test-"));
  const started: RunningProcess[] = [];
  const tokenFile = join(folder, "tokens");
  writeFileSync(tokenFile, `tester ${TOKEN}\nclerk clerk-token records\n`);
  const rpc = await findFreePorts(3);
  const admin = await findFreePorts(3);
  const founders = rpc.map((port, index) =>
    `control${index + 1} = "${HOST}:${port}"`
  ).join("\n");
  const addresses = JSON.stringify(rpc.map((port) => `${HOST}:${port}`));

  function writeSettings(name: string, text: string): string {
    const file = join(folder, `${name}.toml`);
    writeFileSync(file, text);
    return file;
  }

  function startControl(index: number): RunningProcess {
    const vm = `control${index + 1}`;
    const file = writeSettings(
      vm,
      `vm = "${vm}"
domain = "control"
control_addresses = ${addresses}
[control]
rpc_address = "${HOST}:${rpc[index]}"
admin_address = "${HOST}:${admin[index]}"
token_file = "${tokenFile}"
data = "${join(folder, vm)}"
[control.founders]
${founders}
`,
    );
    const running = startProcess(MAIN, ["control", "--settings", file]);
    started.push(running);
    return running;
  }

  async function startNode(
    index: number,
    domain: string,
  ): Promise<FleetNode> {
    const vm = `vm${index + 1}`;
    const [peer, local, caller, backend] = await findFreePorts(4);
    const file = writeSettings(
      vm,
      `vm = "${vm}"
domain = "${domain}"
control_addresses = ${addresses}
[node]
caller_address = "${HOST}:${caller}"
peer_address = "${HOST}:${peer}"
local_address = "${HOST}:${local}"
`,
    );
    const running = startProcess(MAIN, ["node", "--settings", file]);
    const server = startProcess(STAND_IN_SERVER, [
      "billing",
      `${HOST}:${backend}`,
      `${HOST}:${local}`,
      String(index),
    ]);
    started.push(running, server);
    return {
      vm,
      caller: `http://${HOST}:${caller}`,
      local: `http://${HOST}:${local}`,
      process: running,
      backend: server,
    };
  }

  const controls = [0, 1, 2].map(startControl);
  const nodes: FleetNode[] = [];
  for (const [index, domain] of domains.entries()) {
    nodes.push(await startNode(index, domain));
  }
  return {
    admin: `${HOST}:${admin[0]}`,
    adminAddresses: admin.map((port) => `${HOST}:${port}`),
    controls,
    nodes,
    restartControl(index) {
      controls[index] = startControl(index);
    },
    async end() {
      for (const running of started) {
        if (running.child.exitCode === null && !running.child.signalCode) {
          running.child.kill("SIGKILL");
        }
      }
      await Promise.all(started.map((running) => running.exited));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Returns the members that are registered with control. */
export async function getMembers(fleet: Fleet): Promise<unknown[]> {
  const status = await getJson(`http://${fleet.admin}/v1/status`);
  return (status?.members ?? []) as unknown[];
}

async function applyExampleSite(fleet: Fleet): Promise<void> {
  const applied = await runCommand([
    "apply",
    examplePath("base.toml"),
    examplePath("rajkot.toml"),
    "--admin",
    fleet.adminAddresses.join(","),
  ]);
  if (applied.code !== 0) {
    throw new Error(`apply failed: ${applied.stderr}`);
  }
}

async function isServing(caller: string): Promise<boolean> {
  try {
    const answer = await request(`${caller}/billing/accounts/0`);
    await answer.body.dump();
    return answer.statusCode === 200;
  } catch {
    return false;
  }
}

/** Applies the example site, and waits until each node answers calls. */
export async function waitUntilServing(fleet: Fleet): Promise<void> {
  await eventually(
    "control answers",
    async () => await getJson(`http://${fleet.admin}/v1/status`) !== undefined,
  );
  await applyExampleSite(fleet);
  await eventually(
    "all servers are registered",
    async () => (await getMembers(fleet)).length === fleet.nodes.length,
  );
  await eventually("every node answers a call", async () => {
    const ready = await Promise.all(
      fleet.nodes.map((node) => isServing(node.caller)),
    );
    return ready.every(Boolean);
  });
}

/** Returns the JSON at a URL, or `undefined` if the request fails. */
export async function getJson(
  url: string,
): Promise<Record<string, unknown> | undefined> {
  try {
    const answer = await request(url, {
      headers: { authorization: `Bearer ${TOKEN}` },
    });
    return await answer.body.json() as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
