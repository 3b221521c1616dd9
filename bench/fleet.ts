/**
 * A small fleet of real processes for benchmarks: a control replica, two nodes,
 * and a backend server beside the second node.
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { freePorts } from "../src/demo/ports.ts";

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const STANDIN = join(HERE, "../src/standin/main.js");
const EXAMPLES = join(HERE, "../../examples");
const WAIT_MS = 20_000;
const RETRY_MS = 100;
const PORTS = 10;
/** Usual time of a request at the backend server, in milliseconds. */
const WORK_MS = 1;

/** A node of the fleet. */
export interface FleetNode {
  /** Where it takes callers' requests. */
  caller: string;
  /** Where it shows its metrics. */
  local: string;
}

/** A fleet that serves. */
export interface Fleet {
  nodes: FleetNode[];
  /** Address of the backend server. */
  backend: string;
  /** Ends its processes and removes its files. */
  stop(): void;
}

interface Started {
  kill(): void;
}

function start(script: string, args: string[]): Started {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: "ignore",
  });
  return { kill: () => child.kill("SIGKILL") };
}

/** Returns a metric of a node. */
export async function metric(local: string, name: string): Promise<number> {
  const answer = await request(`http://${local}/metrics`);
  const text = await answer.body.text();
  const line = text.split("\n").find((one) => one.startsWith(name + " "));
  return Number(line?.split(" ")[1] ?? NaN);
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  const end = Date.now() + WAIT_MS;
  while (Date.now() < end) {
    if (await condition().catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
  throw new Error("the fleet did not become ready");
}

function applySite(admin: string): Promise<boolean> {
  const applied = spawn(process.execPath, [
    MAIN,
    "apply",
    join(EXAMPLES, "base.toml"),
    join(EXAMPLES, "rajkot.toml"),
    "--admin",
    admin,
  ], {
    stdio: "ignore",
    env: { ...process.env, MUSTARDCROSS_TOKEN: "bench-token" },
  });
  return new Promise((resolve) =>
    applied.once("exit", (code) => resolve(code === 0))
  );
}

/**
 * Starts a fleet and waits until it serves. Only the second node has a backend
 * server: a call to the first takes two hops, a call to the second takes one.
 */
export async function startFleet(): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-bench-"));
  const ports = await freePorts(PORTS);
  const at = (index: number): string => `${HOST}:${ports[index]}`;
  const started: Started[] = [];
  function stop(): void {
    started.forEach((one) => one.kill());
    rmSync(folder, { recursive: true, force: true });
  }
  try {
    const tokens = join(folder, "tokens");
    writeFileSync(tokens, "bench bench-token\n");
    const control = join(folder, "control.toml");
    writeFileSync(
      control,
      `vm = "c1"\ndomain = "d"\ncontrol_addresses = ["${at(0)}"]\n[control]\n` +
        `rpc_address = "${at(0)}"\nadmin_address = "${at(1)}"\n` +
        `token_file = "${tokens}"\ndata = "${join(folder, "data")}"\n` +
        `[control.founders]\nc1 = "${at(0)}"\n`,
    );
    started.push(start(MAIN, ["control", "--settings", control]));
    const nodes = [0, 1].map((index) => {
      const file = join(folder, `node${index}.toml`);
      const [caller, peer, local] = [0, 1, 2].map((n) => at(2 + 3 * index + n));
      writeFileSync(
        file,
        `vm = "vm${index}"\ndomain = "race-course"\n` +
          `control_addresses = ["${at(0)}"]\n[node]\n` +
          `caller_address = "${caller}"\npeer_address = "${peer}"\n` +
          `local_address = "${local}"\n`,
      );
      started.push(start(MAIN, ["node", "--settings", file]));
      return { caller, local };
    });
    const backend = at(8);
    started.push(
      start(STANDIN, [
        "billing",
        backend,
        nodes[1].local,
        String(WORK_MS),
        "0.001",
      ]),
    );
    await until(() => applySite(at(1)));
    await until(async () => {
      const answer = await request(
        `http://${nodes[0].caller}/billing/accounts/1`,
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    });
    return { nodes, backend, stop };
  } catch (error) {
    stop();
    throw error;
  }
}
