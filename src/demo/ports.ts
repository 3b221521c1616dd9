/**
 * Free ports of the loopback address.
 * @module
 */
import { createServer } from "node:net";

const HOST = "127.0.0.1";

/** Finds free ports by binding them for a moment, all at once. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve) => {
          const server = createServer();
          server.listen(0, HOST, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => {
    const bound = server.address();
    return typeof bound === "object" && bound ? bound.port : 0;
  });
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
