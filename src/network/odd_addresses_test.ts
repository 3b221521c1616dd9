/**
 * Guards against an odd address in a list that a process reads: connecting to it
 * fails as connecting to a missing peer does, and never throws.
 */
import { test } from "tap";
import { statusMethod } from "../control/node_methods.ts";
import type { BackendError } from "../guard/backend.ts";
import { createFakeServerRequest } from "../guard/fake_server_request.ts";
import { createHttpBackend } from "../guard/http_backend.ts";
import { createGrpcRpc } from "../rpc/grpc_rpc.ts";
import { isConnectable } from "./channel.ts";
import { tcpNetwork } from "./tcp.ts";

const ODD_ADDRESSES = [
  "",
  "x",
  ":80",
  "10.0.0.1",
  "10.0.0.1:",
  "10.0.0.1:0",
  "10.0.0.1:-1",
  "10.0.0.1:99999",
  "10.0.0.1:1e3",
  "10.0.0.1:http",
  "10.0.0.1:80:90",
  "http://10.0.0.1:80",
  "10.0.0.1 :80",
  "\0:80",
  "[::1:80",
];
const TIMEOUT_MS = 1_000;

for (const address of ODD_ADDRESSES) {
  test(`connecting to ${JSON.stringify(address)} fails`, async (t) => {
    t.notOk(isConnectable(address));
    const unreached = await tcpNetwork.connect(address, TIMEOUT_MS)
      .then(() => undefined, (error) => error);
    t.equal(unreached?.step, "channel.connect");
    const rpc = createGrpcRpc();
    const reply = await rpc.call({
      peer: address,
      method: statusMethod,
      request: {},
      timeoutMs: TIMEOUT_MS,
    });
    t.equal(reply._unsafeUnwrapErr().step, "rpc.status");
    const backend = createHttpBackend({
      address,
      connections: 1,
      connectTimeoutMs: TIMEOUT_MS,
    });
    const failed = await backend.send(createFakeServerRequest())
      .then(() => undefined, (error: BackendError) => error);
    t.equal(failed?.failure, "connect", "which proves that nothing ran");
  });
}

test("host names and addresses of both kinds are connectable", (t) => {
  for (const address of ["10.0.0.1:80", "[::1]:80", "vm1:1", "a.b:65535"]) {
    t.ok(isConnectable(address), address);
  }
  t.end();
});
