import { createServer } from "node:net";
import { test } from "tap";
import {
  createPortSource,
  FIRST_OF_CONNECTIONS,
  freePorts,
  freeRange,
} from "./ports.ts";

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

test("the ports of a range follow each other", async (t) => {
  const ranges = [await freeRange(2), await freeRange(5), await freeRange(30)];
  t.same(ranges.map(([first, last]) => last - first + 1), [2, 5, 30]);
  const all = ranges.flatMap(([first, last]) =>
    Array.from({ length: last - first + 1 }, (_, index) => first + index)
  );
  t.equal(new Set(all).size, 37);
});
