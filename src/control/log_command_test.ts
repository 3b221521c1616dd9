import { test } from "tap";
import { decodeCommand, encodeCommand } from "./log_command.ts";

/** A command that sets many routes which resemble each other. */
const MANY_ROUTES = {
  kind: "change",
  routes: Array.from({ length: 1_400 }, (_, number) => ({
    name: `r-${number}`,
    host: "shop.example",
    prefix: `/part-${number}/`,
    deadline_ms: 800,
    targets: [{ service: "work", weight: 1 }],
  })),
};

test("a command is decoded as it was encoded", (t) => {
  for (const command of [{ kind: "small", count: 3 }, MANY_ROUTES]) {
    t.same(decodeCommand(encodeCommand(command)), command);
  }
  t.end();
});

test("a command with many routes does not fill the messages to all followers", (t) => {
  const bytes = encodeCommand(MANY_ROUTES).length;
  const limit = JSON.stringify(MANY_ROUTES).length / 8;
  t.ok(bytes < limit, `${bytes} of ${Math.round(limit)} bytes`);
  t.end();
});

test("a command of an earlier version is taken as it is", (t) => {
  t.same(decodeCommand({ kind: "old" }), { kind: "old" });
  t.equal(decodeCommand(undefined), undefined);
  t.throws(() => decodeCommand(new Uint8Array([9, 1])), {
    message: /unknown encoding 9/,
  });
  t.end();
});
