/**
 * Free ports of the loopback address. No other process that asks here gets the
 * same, and no connection does: the kernel takes higher ones for these.
 * @module
 */
import { createServer } from "node:net";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
/** Lowest port that Linux takes for a connection by itself, unless told otherwise. */
export const FIRST_OF_CONNECTIONS = 32_768;
/** Ports of a block; a process claims whole blocks. */
const BLOCK_PORTS = 32;
const BLOCKS = Math.floor((FIRST_OF_CONNECTIONS - FIRST_PORT) / BLOCK_PORTS);

/** Binds a port; returns what releases it, or `undefined` if it is in use. */
function bind(port: number): Promise<(() => Promise<void>) | undefined> {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(undefined);
      else reject(error);
    });
    server.listen(port, HOST, () => {
      server.unref();
      resolve(() => new Promise((done) => server.close(() => done())));
    });
  });
}

/** Creates a source of free ports, which claims blocks from a given one on. */
export function createPortSource(
  firstBlock: number,
): (count: number) => Promise<number[]> {
  let nextBlock = firstBlock % BLOCKS;
  let claimed: number[] = [];

  /** Claims a block by holding its first port until this process ends. */
  async function claimBlock(): Promise<number[]> {
    for (let tried = 0; tried < BLOCKS; tried += 1) {
      const first = FIRST_PORT + nextBlock * BLOCK_PORTS;
      nextBlock = (nextBlock + 1) % BLOCKS;
      if (await bind(first)) {
        const rest = { length: BLOCK_PORTS - 1 };
        return Array.from(rest, (_, index) => first + 1 + index);
      }
    }
    throw new Error("no free ports are left");
  }

  async function freePort(): Promise<number> {
    while (true) {
      const port = claimed.shift();
      if (port === undefined) {
        claimed = claimed.concat(await claimBlock());
        continue;
      }
      const release = await bind(port);
      if (release) {
        await release();
        return port;
      }
    }
  }

  return async (count) => {
    const ports: number[] = [];
    while (ports.length < count) {
      ports.push(await freePort());
    }
    return ports;
  };
}

/** Finds free ports; each is given out once in the life of this process. */
export const freePorts = createPortSource(process.pid);

/** Finds a range of free ports; returns the first and the last. */
export async function freeRange(count: number): Promise<[number, number]> {
  let [first] = await freePorts(1);
  let last = first;
  while (last - first + 1 < count) {
    const [port] = await freePorts(1);
    if (port !== last + 1) first = port;
    last = port;
  }
  return [first, last];
}
