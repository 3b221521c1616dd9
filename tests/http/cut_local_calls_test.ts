/**
 * Calls of a node's local API that are cut before their body is complete. A
 * rejection that nobody handles would end the node's process.
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "tap";
import { createLogger } from "../../src/core/logger.ts";
import { createLocalApi } from "../../src/http/local_api.ts";
import type { Node } from "../../src/node/node.ts";
import { splitAddress } from "../../src/network/channel.ts";
import { eventually } from "../processes.ts";

test("a call of the local API that is cut does not end the node", async (t) => {
  const lines: string[] = [];
  const logger = createLogger({ write: (line) => lines.push(line) });
  const unhandled: unknown[] = [];
  const noteUnhandled = (error: unknown) => unhandled.push(error);
  process.prependListener("unhandledRejection", noteUnhandled);
  t.teardown(() => process.off("unhandledRejection", noteUnhandled));
  const api = createLocalApi({ node: {} as Node, logger });
  const { host, port } = splitAddress(await api.listen("127.0.0.1:0"));
  for (const path of ["/announce", "/leave"]) {
    const linesBefore = lines.length;
    const socket = connect(port, host);
    await once(socket, "connect");
    const cutCall =
      `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{`;
    await new Promise((resolve) => socket.write(cutCall, resolve));
    socket.destroy();
    await eventually(
      `the cut call of ${path} is logged`,
      () => lines.length > linesBefore || unhandled.length > 0,
    );
  }
  t.equal(unhandled.length, 0);
  t.equal(
    lines.filter((line) => line.includes("local_api.request_failed")).length,
    2,
  );
  await api.stop();
});
