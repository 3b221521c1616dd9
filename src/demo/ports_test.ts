import { createServer } from "node:net";
import { test } from "tap";
import { createPortSource, FIRST_OF_CONNECTIONS, freePorts } from "./ports.ts";

const HOST = "127.0.0.1";

test("no connection can take a free port before it is bound", async (t) => {
  const ports = await freePorts(40);
  t.same(ports.filter((port) => port >= FIRST_OF_CONNECTIONS), []);
});

test("a port is given out once, whoever asks", async (t) => {
  // As two processes do whose identifiers lead to the same block.
  const sources = [createPortSource(7), createPortSource(7)];
  const asked = [0, 1, 0, 1, 1].map((index) => sources[index](20));
  const ports = (await Promise.all(asked)).flat();
  t.equal(new Set(ports).size, 100);
});

test("a port that is in use is passed over", async (t) => {
  const source = createPortSource(11);
  const [before] = await source(1);
  const server = createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) =>
    server.listen(before + 1, HOST, resolve)
  );
  t.notOk((await source(5)).includes(before + 1));
});
