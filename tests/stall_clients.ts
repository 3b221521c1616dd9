/**
 * Clients in a worker thread, for tests that stall the process under test. They
 * connect, write while it is stalled, and then close their connections or wait.
 * @module
 */
import { connect, type Socket } from "node:net";
import { parentPort, workerData } from "node:worker_threads";

/** How a client closes its connection after it has written, or `stay`. */
export type CloseMode = "fin" | "rst" | "stay";

/** Clients that behave alike. */
export interface ClientGroup {
  port: number;
  closeMode: CloseMode;
  /**
   * Request that each client sends before the stall, waiting for an answer.
   * Without it, clients connect only during the stall.
   */
  greeting?: Uint8Array;
  /** Whether clients that send a greeting write their payloads before the stall. */
  writeBeforeStall?: boolean;
  /** A client that stays waits until it has received one of these texts. */
  until?: string[];
  /** What each client writes, by default during the stall. */
  payloads: Uint8Array[];
}

/** Data with which the worker thread is started. */
export interface ClientThreadData {
  groups: ClientGroup[];
  flags: SharedArrayBuffer;
}

/** Indices of the shared flags; `NEVER_SET` serves to wait with a timeout. */
export const CLIENTS_READY = 0;
export const STALL_STARTED = 1;
export const WRITES_DONE = 2;
export const NEVER_SET = 3;

const HOST = "127.0.0.1";
/** Keeps the clients' ports apart from those on which other tests listen. */
const CLIENT_HOST = "127.0.0.2";
const EMPTY = new Uint8Array();
/** Longest wait of clients that stay for their answers. */
const RECEIVE_TIMEOUT_MS = 10_000;

interface Client {
  socket: Socket;
  received: Buffer[];
  closed: Promise<void>;
}

function connectClient(port: number): Promise<Client> {
  return new Promise((resolve, reject) => {
    const socket = connect({ port, host: HOST, localAddress: CLIENT_HOST });
    const received: Buffer[] = [];
    const closed = new Promise<void>((resolveClosed) =>
      socket.on("close", resolveClosed)
    );
    socket.on("error", reject);
    socket.on("data", (part: Buffer) => received.push(part));
    socket.on("connect", () => resolve({ socket, received, closed }));
  });
}

async function sendGreeting(
  client: Client,
  greeting: Uint8Array,
): Promise<void> {
  const answered = new Promise((resolve) =>
    client.socket.once("data", resolve)
  );
  client.socket.write(greeting);
  await answered;
  client.received.length = 0;
}

/** Resolves once a client has received one of the texts or is closed. */
function waitForResponse(client: Client, until: string[]): Promise<void> {
  return new Promise((resolve) => {
    function checkReceived(): void {
      const text = Buffer.concat(client.received).toString("latin1");
      if (until.some((one) => text.includes(one))) {
        resolve();
      }
    }
    client.socket.on("data", checkReceived);
    void client.closed.then(resolve);
    checkReceived();
  });
}

/** Opens the clients of a group that connect before the stall. */
async function openEarlyClients(group: ClientGroup): Promise<Client[]> {
  const clients: Client[] = [];
  if (group.greeting) {
    for (const _ of group.payloads) {
      const client = await connectClient(group.port);
      await sendGreeting(client, group.greeting);
      if (group.writeBeforeStall) {
        client.socket.write(group.payloads[clients.length]);
      }
      clients.push(client);
    }
  }
  return clients;
}

/** Writes and closes; resolves once the socket has sent or closed. */
async function writeAndClose(
  client: Client,
  { payload, closeMode }: { payload: Uint8Array; closeMode: CloseMode },
): Promise<void> {
  const { socket, closed } = client;
  await new Promise((resolve) => socket.write(payload, resolve));
  if (closeMode === "stay") {
    return;
  }
  if (closeMode === "fin") {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
  await closed;
}

async function main(): Promise<void> {
  const { groups, flags } = workerData as ClientThreadData;
  const flagsView = new Int32Array(flags);
  const clientsByGroup: Client[][] = [];
  for (const group of groups) {
    clientsByGroup.push(await openEarlyClients(group));
  }
  Atomics.store(flagsView, CLIENTS_READY, 1);
  Atomics.wait(flagsView, STALL_STARTED, 0);
  for (
    const [index, { port, closeMode, writeBeforeStall, payloads }] of groups
      .entries()
  ) {
    await Promise.all(payloads.map(async (payload, at) => {
      const client = clientsByGroup[index][at] ?? await connectClient(port);
      clientsByGroup[index][at] = client;
      await writeAndClose(client, {
        payload: writeBeforeStall ? EMPTY : payload,
        closeMode,
      });
    }));
  }
  Atomics.store(flagsView, WRITES_DONE, 1);
  Atomics.notify(flagsView, WRITES_DONE);
  const staying = clientsByGroup.flatMap((clients, index) => {
    const { closeMode, until = [] } = groups[index];
    return closeMode === "stay"
      ? clients.map((client) => ({ ...client, until }))
      : [];
  });
  await Promise.race([
    Promise.all(staying.map((one) => waitForResponse(one, one.until))),
    new Promise((resolve) => setTimeout(resolve, RECEIVE_TIMEOUT_MS)),
  ]);
  parentPort?.postMessage(
    staying.map(({ received }) => Buffer.concat(received).toString("latin1")),
  );
  staying.forEach(({ socket }) => socket.destroy());
}

if (parentPort) {
  await main();
}
