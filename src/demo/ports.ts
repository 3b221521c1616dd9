/**
 * Finds free ports of the loopback address. No two processes that use this
 * module get the same port, and the ports lie below the kernel's ephemeral
 * range, so that no outgoing connection takes one before it is bound.
 * @module
 */
import { createServer } from "node:net";

const HOST = "127.0.0.1";
const FIRST_PORT = 10_000;
/** Lowest port of Linux's default ephemeral range. */
export const FIRST_EPHEMERAL_PORT = 32_768;
/** Number of ports in a block. A process claims whole blocks. */
const BLOCK_PORTS = 32;
const BLOCK_COUNT = Math.floor(
  (FIRST_EPHEMERAL_PORT - FIRST_PORT) / BLOCK_PORTS,
);

/**
 * Binds a port and returns a function that releases it, or `undefined` if the
 * port is in use.
 */
function bindPort(port: number): Promise<(() => Promise<void>) | undefined> {
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

/**
 * Creates a function that finds free ports. It claims one block after another,
 * beginning with `firstBlock`.
 */
export function createPortAllocator(
  firstBlock: number,
): (count: number) => Promise<number[]> {
  let nextBlock = firstBlock % BLOCK_COUNT;
  let claimedPorts: number[] = [];

  /**
   * Claims the next unclaimed block, and returns all ports of it but the first.
   * The first port stays bound until this process ends, which keeps other
   * processes from claiming the block.
   */
  async function claimBlock(): Promise<number[]> {
    for (let tried = 0; tried < BLOCK_COUNT; tried += 1) {
      const first = FIRST_PORT + nextBlock * BLOCK_PORTS;
      nextBlock = (nextBlock + 1) % BLOCK_COUNT;
      if (await bindPort(first)) {
        const rest = { length: BLOCK_PORTS - 1 };
        return Array.from(rest, (_, index) => first + 1 + index);
      }
    }
    throw new Error("all blocks of ports are claimed");
  }

  async function findFreePort(): Promise<number> {
    while (true) {
      const port = claimedPorts.shift();
      if (port === undefined) {
        claimedPorts = claimedPorts.concat(await claimBlock());
        continue;
      }
      const release = await bindPort(port);
      if (release) {
        await release();
        return port;
      }
    }
  }

  return async (count) => {
    const ports: number[] = [];
    while (ports.length < count) {
      ports.push(await findFreePort());
    }
    return ports;
  };
}

/** Finds free ports. Each port is returned at most once by this process. */
export const findFreePorts = createPortAllocator(process.pid);

/** Finds consecutive free ports, and returns the first and the last of them. */
export async function findFreePortRange(
  count: number,
): Promise<[number, number]> {
  let [first] = await findFreePorts(1);
  let last = first;
  while (last - first + 1 < count) {
    const [port] = await findFreePorts(1);
    if (port !== last + 1) first = port;
    last = port;
  }
  return [first, last];
}
