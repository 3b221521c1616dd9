/**
 * Starts the product's processes with a small heap and few descriptors, and
 * reads what they use. Each is a process of its own on loopback; only those
 * that were started here are ended.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  readlinkSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePorts } from "../../src/demo/ports.ts";
import { eventually } from "../processes.ts";

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const PRODUCT_MAIN = join(HERE, "../../src/cli/main.js");
/** Heap of a process; deployments allow 160 MB. */
const HEAP_MB = 64;
/** Descriptors of a process; deployments allow 4,100. */
const MAX_DESCRIPTORS = 256;
const BYTES_PER_KB = 1_024;
const TOKEN = "test-token";
/** State of a listening socket in the system's table. */
const LISTEN_STATE = "0A";

/** A process that was started. */
export interface LimitedProcess {
  readonly alive: boolean;
  /** Most memory that the process has had since `resetPeak`, in bytes. */
  peakBytes(): number;
  resetPeak(): void;
  /** Bytes that its sockets hold now, unread or unsent. */
  socketBytes(): number;
  /** Number of descriptors that are open now. */
  descriptors(): number;
  /** Last lines of the output. */
  output(): string;
  end(): Promise<void>;
}

/** Returns the inode numbers of a process's sockets. */
function findSocketInodes(pid: number): Set<string> {
  const folder = `/proc/${pid}/fd`;
  const inodes = new Set<string>();
  for (const name of readdirSync(folder)) {
    try {
      const [, inode] = /^socket:\[(\d+)\]$/
        .exec(readlinkSync(join(folder, name))) ?? [];
      inodes.add(inode);
    } catch {
      // The descriptor was closed meanwhile.
    }
  }
  return inodes;
}

/** Returns the bytes in the queues of a process's TCP sockets over IPv4. */
function readSocketBytes(pid: number): number {
  const inodes = findSocketInodes(pid);
  let bytes = 0;
  const lines = readFileSync(`/proc/${pid}/net/tcp`, "utf8").split("\n");
  for (const line of lines.slice(1).filter((line) => line !== "")) {
    const [, , , state, queues, , , , , inode] = line.trim().split(/\s+/);
    // The queues of a listener are connections.
    if (state !== LISTEN_STATE && inodes.has(inode)) {
      const [unsent, unread] = queues.split(":").map((hex) =>
        parseInt(hex, 16)
      );
      bytes += unsent + unread;
    }
  }
  return bytes;
}

/** What a process may use; small by default. */
export interface ProcessLimits {
  heapMb?: number;
  descriptors?: number;
}

/** Starts a script with a small heap and few descriptors. */
export function startLimited(
  script: string,
  args: string[],
  { heapMb = HEAP_MB, descriptors = MAX_DESCRIPTORS }: ProcessLimits = {},
): LimitedProcess {
  // The shell lowers the limit of the process that it becomes. Without `unset`,
  // the process would load the test runner's code, which takes 40 MB.
  const command =
    `unset NODE_OPTIONS; ulimit -n ${descriptors}; exec "$0" "$@"`;
  const child: ChildProcess = spawn("sh", [
    "-c",
    command,
    process.execPath,
    `--max-old-space-size=${heapMb}`,
    "--max-semi-space-size=4",
    "--single-threaded-gc",
    "--expose-gc",
    script,
    ...args,
  ], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, NO_COLOR: "1" },
  });
  let output = "";
  const collect = (chunk: unknown): void => {
    output = (output + String(chunk)).slice(-4_000);
  };
  child.stdout?.on("data", collect);
  child.stderr?.on("data", collect);
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  const isAlive = () => child.exitCode === null && child.signalCode === null;
  return {
    get alive() {
      return isAlive();
    },
    peakBytes() {
      const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
      return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * BYTES_PER_KB;
    },
    resetPeak: () => writeFileSync(`/proc/${child.pid}/clear_refs`, "5"),
    socketBytes: () => readSocketBytes(child.pid!),
    descriptors: () => readdirSync(`/proc/${child.pid}/fd`).length,
    output: () => output,
    async end() {
      if (isAlive()) {
        child.kill("SIGKILL");
      }
      await exited;
    },
  };
}

/** The product's processes, a node and a control replica, and their ports. */
export interface Site {
  node: LimitedProcess;
  control: LimitedProcess;
  /** Ports by name. */
  ports: Record<string, number>;
  end(): Promise<void>;
}

/** Starts a node and a control replica with the product's own interfaces. */
export async function startProductSite(): Promise<Site> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-clients-"));
  const [rpc, admin, controlMetrics, peer, local, callers] =
    await findFreePorts(6);
  const tokenFile = join(folder, "tokens");
  writeFileSync(tokenFile, `tester ${TOKEN}\n`);
  const common = `domain = "east"\ncontrol_addresses = ["${HOST}:${rpc}"]\n`;
  const controlFile = join(folder, "control.toml");
  writeFileSync(
    controlFile,
    `vm = "control1"\n${common}[control]
rpc_address = "${HOST}:${rpc}"
admin_address = "${HOST}:${admin}"
metrics_address = "${HOST}:${controlMetrics}"
token_file = "${tokenFile}"
data = "${join(folder, "data")}"
[control.founders]
control1 = "${HOST}:${rpc}"
`,
  );
  const nodeFile = join(folder, "node.toml");
  writeFileSync(
    nodeFile,
    `vm = "vm1"\n${common}[node]
caller_address = "${HOST}:${callers}"
peer_address = "${HOST}:${peer}"
local_address = "${HOST}:${local}"
`,
  );
  const control = startLimited(PRODUCT_MAIN, [
    "control",
    "--settings",
    controlFile,
  ]);
  const node = startLimited(PRODUCT_MAIN, ["node", "--settings", nodeFile]);
  const ports = { admin, controlMetrics, local, callers };
  const isListening = async (url: string): Promise<boolean> => {
    try {
      return (await fetch(url)).status > 0;
    } catch {
      return false;
    }
  };
  for (const port of Object.values(ports)) {
    await eventually(
      `port ${port} answers`,
      () => isListening(`http://${HOST}:${port}/`),
    );
  }
  return {
    node,
    control,
    ports,
    async end() {
      await Promise.all([node.end(), control.end()]);
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
