import { createServer } from "node:net";
import { test } from "tap";
import {
  createPortAllocator,
  findFreePortRange,
  findFreePorts,
  FIRST_EPHEMERAL_PORT,
} from "./ports.ts";

const HOST = "127.0.0.1";

test("free ports lie below the ephemeral range", async (t) => {
  const ports = await findFreePorts(40);
  t.same(ports.filter((port) => port >= FIRST_EPHEMERAL_PORT), []);
});

test("allocators that start at the same block return no port twice", async (t) => {
  // Two processes start at the same block if their ids are equal modulo the
  // number of blocks.
  const allocators = [createPortAllocator(7), createPortAllocator(7)];
  const allocations = [0, 1, 0, 1, 1].map((index) => allocators[index](20));
  const ports = (await Promise.all(allocations)).flat();
  t.equal(new Set(ports).size, 100);
});

test("a port in use is skipped", async (t) => {
  const allocate = createPortAllocator(11);
  const [before] = await allocate(1);
  const server = createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) =>
    server.listen(before + 1, HOST, resolve)
  );
  t.notOk((await allocate(5)).includes(before + 1));
});

test("a range has the requested number of ports, and ranges do not overlap", async (t) => {
  const ranges = [
    await findFreePortRange(2),
    await findFreePortRange(5),
    await findFreePortRange(30),
  ];
  t.same(ranges.map(([first, last]) => last - first + 1), [2, 5, 30]);
  const all = ranges.flatMap(([first, last]) =>
    Array.from({ length: last - first + 1 }, (_, index) => first + index)
  );
  t.equal(new Set(all).size, 37);
});
