/**
 * Runs one stand-in backend server as a process of its own. On SIGTERM, the
 * server leaves its node, drains and exits.
 *
 * `main.js SERVICE ADDRESS NODE_ADDRESS SEED [MEAN_MS]`
 * @module
 */
import { startBackendServer } from "./backend_server.ts";

const [service, address, nodeAddress, seed, meanMs] = process.argv.slice(2);

const server = await startBackendServer({
  service,
  address,
  nodeAddress,
  seed: Number(seed),
  meanMs: meanMs ? Number(meanMs) : undefined,
});
process.stdout.write(`ready ${server.address}\n`);
process.once("SIGTERM", () => {
  void server.leave().then(() => process.exit(0));
});
