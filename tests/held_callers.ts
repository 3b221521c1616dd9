/**
 * A thread of clients for tests in which the process under test is held up:
 * they connect, and while it stands still they write and, as told, leave.
 * @module
 */
import { connect, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** How a client ends its connection once it has written. */
export type Leaving = "fin" | "rst" | "stay";

/** Clients that do the same. */
export interface Group {
  port: number;
  leaving: Leaving;
  /** What is written and answered before the hold-up; else none connects. */
  greeting?: Uint8Array;
  /** Whether the payloads are written before the hold-up as well. */
  early?: boolean;
  /** Texts of which one ends what a client that stays waits for. */
  until?: string[];
  /** What each client writes during the hold-up. */
  payloads: Uint8Array[];
}

/** What the thread is started with. */
export interface HeldCallersData {
  groups: Group[];
  flags: SharedArrayBuffer;
}

/** Places in the shared flags. */
export const READY = 0;
export const GO = 1;
export const DONE = 2;
export const NEVER = 3;

const HOST = "127.0.0.1";
/** Clients' own ports are apart from those that other tests listen at. */
const CLIENT_HOST = "127.0.0.2";
const NOTHING = new Uint8Array();
/** Time for which clients that stay wait for what comes back. */
const STAY_MS = 10_000;

interface Client {
  socket: Socket;
  received: Buffer[];
  closed: Promise<void>;
}

function open(port: number): Promise<Client> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: HOST, localAddress: CLIENT_HOST });
    const received: Buffer[] = [];
    const closed = new Promise<void>((done) => socket.on("close", done));
    socket.on("error", reject);
    socket.on("data", (part: Buffer) => received.push(part));
    socket.on("connect", () => resolve({ socket, received, closed }));
  });
}

async function greet(client: Client, greeting: Uint8Array): Promise<void> {
  const answered = new Promise((resolve) =>
    client.socket.once("data", resolve)
  );
  client.socket.write(greeting);
  await answered;
  client.received.length = 0;
}

/** Resolves once a client has all that it waits for. */
function complete(client: Client, until: string[]): Promise<void> {
  return new Promise((resolve) => {
    function look(): void {
      const text = Buffer.concat(client.received).toString("latin1");
      if (until.some((one) => text.includes(one))) {
        resolve();
      }
    }
    client.socket.on("data", look);
    void client.closed.then(resolve);
    look();
  });
}

/** Opens the clients that connect before the hold-up. */
async function prepare(group: Group): Promise<Client[]> {
  const clients: Client[] = [];
  if (group.greeting) {
    for (const _ of group.payloads) {
      const client = await open(group.port);
      await greet(client, group.greeting);
      if (group.early) {
        client.socket.write(group.payloads[clients.length]);
      }
      clients.push(client);
    }
  }
  return clients;
}

/** Writes, and resolves once the bytes and the leaving are on their way. */
async function act(
  client: Client,
  { payload, leaving }: { payload: Uint8Array; leaving: Leaving },
): Promise<void> {
  const { socket, closed } = client;
  await new Promise((resolve) => socket.write(payload, resolve));
  if (leaving === "stay") {
    return;
  }
  if (leaving === "fin") {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
  await closed;
}

async function main(): Promise<void> {
  const { groups, flags } = workerData as HeldCallersData;
  const shared = new Int32Array(flags);
  const prepared: Client[][] = [];
  for (const group of groups) {
    prepared.push(await prepare(group));
  }
  Atomics.store(shared, READY, 1);
  Atomics.wait(shared, GO, 0);
  for (const [index, { port, leaving, early, payloads }] of groups.entries()) {
    await Promise.all(payloads.map(async (payload, at) => {
      const client = prepared[index][at] ?? await open(port);
      prepared[index][at] = client;
      await act(client, { payload: early ? NOTHING : payload, leaving });
    }));
  }
  Atomics.store(shared, DONE, 1);
  Atomics.notify(shared, DONE);
  const staying = prepared.flatMap((clients, index) => {
    const { leaving, until = [] } = groups[index];
    return leaving === "stay"
      ? clients.map((client) => ({ ...client, until }))
      : [];
  });
  await Promise.race([
    Promise.all(staying.map((one) => complete(one, one.until))),
    new Promise((resolve) => setTimeout(resolve, STAY_MS)),
  ]);
  parentPort?.postMessage(
    staying.map(({ received }) => Buffer.concat(received).toString("latin1")),
  );
  staying.forEach(({ socket }) => socket.destroy());
}

if (parentPort) {
  await main();
}
