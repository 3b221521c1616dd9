/**
 * What a caller is told when several attempts end differently.
 */
import { test } from "tap";
import { siteSchema } from "../../src/settings/site.ts";
import { alwaysBroken } from "./checks.ts";
import { createWorld, SERVICE, type World } from "./world.ts";

async function startWorld(): Promise<World> {
  const world = createWorld({
    seed: 3,
    servers: 2,
    site: siteSchema.parse({
      name: "dispatch",
      domains: ["east", "west"],
      retry: { budget_ratio: 1 },
      services: {
        [SERVICE]: {
          team: "work",
          routes: {
            look: { path: "/look/*", class: "look", repeatable: true },
          },
        },
      },
    }),
    shape: {
      slots: 8,
      meanMs: 5,
      coldCompletions: 0,
      coldFactor: 1,
      coldBears: 100,
    },
  });
  await world.begin();
  return world;
}

test("an error answer stands when a further attempt is refused", async (t) => {
  const world = await startWorld();
  world.vm("vm1").server.failStatus = 500;
  world.vm("vm2").server.crash();
  const calls = [];
  for (let count = 0; count < 20; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/${count}` }));
    await world.timer.advance(50);
  }
  await world.timer.advance(3_000);
  t.same(alwaysBroken(world), []);
  const ran = calls.filter((call) => call.reply?.outcome === "ran");
  t.ok(ran.length > 0);
  t.ok(ran.every((call) => call.reply?.status === 500));
});
