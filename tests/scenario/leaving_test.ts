/**
 * A backend server that leaves, but goes on announcing itself.
 */
import { test } from "tap";
import { siteSchema } from "../../src/settings/site.ts";
import { createWorld, SERVICE, type World } from "./world.ts";

async function startWorld(): Promise<World> {
  const world = createWorld({
    seed: 5,
    servers: 2,
    site: siteSchema.parse({
      name: "leaving",
      domains: ["east", "west"],
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

function membersSeenBy(world: World, name: string): string[] {
  const { directory } = world.vm(name).node;
  return directory.service(SERVICE)!.members.map((member) => member.server);
}

test("a server that left is not registered again by the same boot", async (t) => {
  const world = await startWorld();
  const vm = world.vm("vm2");
  void vm.node.leave(vm.server.boot);
  await world.timer.advance(4_000);
  t.same(membersSeenBy(world, "vm1"), ["vm1"]);
  vm.server.start();
  await world.timer.advance(4_000);
  t.same(membersSeenBy(world, "vm1").sort(), ["vm1", "vm2"], "a new boot is");
});

test("a node that stops is not registered again by announcements", async (t) => {
  const world = await startWorld();
  const vm = world.vm("vm2");
  void vm.node.drain().then(() => vm.node.stop());
  await world.timer.advance(4_000);
  t.same(membersSeenBy(world, "vm1"), ["vm1"]);
});
