import { test } from "tap";
import {
  DOMAINS,
  eventually,
  examplePath,
  getJson,
  runCommand,
  startFleet,
  waitUntilServing,
} from "./processes.ts";

test("operators' commands against separate processes", async (t) => {
  const fleet = await startFleet(DOMAINS);
  t.teardown(() => fleet.end());
  await waitUntilServing(fleet);

  await t.test("commands exit with the documented codes", async (t) => {
    const admin = ["--admin", fleet.admin];
    const stale = await runCommand([
      ...["domain", "out", "kalavad", "--against", "0"],
      ...admin,
    ]);
    t.equal(stale.code, 3, "a change against an old version conflicts");
    t.match(stale.stderr, /configure rajkot/, "the newer change is shown");
    const out = await runCommand(["domain", "out", "kalavad", ...admin]);
    t.equal(out.code, 0);
    const unknown = await runCommand(["domain", "out", "nowhere", ...admin]);
    t.equal(unknown.code, 4);
    await eventually("the guard in kalavad has the new version", async () => {
      const status = await getJson(`${fleet.nodes[1].local}/status`);
      return status?.version === 2;
    });
    const back = await runCommand(["domain", "back", "kalavad", ...admin]);
    t.equal(back.code, 0);
    const history = await runCommand(["history", "--json", ...admin]);
    t.equal(JSON.parse(history.stdout).length, 3);
    const explained = await runCommand([
      ...["explain", "--domain", "kalavad"],
      ...admin,
    ]);
    t.match(explained.stdout, /tester: domain_out kalavad/);
  });

  await t.test("no accepted change is lost when the leader is killed", async (t) => {
    const accepted: number[] = [];
    async function toggle(times: number): Promise<void> {
      for (let index = 0; index < times; index++) {
        const direction = index % 2 === 0 ? "out" : "back";
        const ended = await runCommand([
          ...["server", direction, "vm2", "--json"],
          ...["--admin", fleet.adminAddresses.join(",")],
        ]);
        if (ended.code === 0) {
          accepted.push(JSON.parse(ended.stdout).version);
        }
      }
    }
    const toggling = toggle(8);
    await eventually("changes are accepted", () => accepted.length >= 2);
    const statuses = await Promise.all(
      fleet.adminAddresses.map((one) => getJson(`http://${one}/v1/status`)),
    );
    const leader = statuses.findIndex((status) => status?.role === "leader");
    fleet.controls[leader].child.kill("SIGKILL");
    await toggling;
    fleet.restartControl(leader);
    t.ok(
      accepted.length >= 3,
      "changes are accepted after the leader was killed",
    );
    const newest = Math.max(...accepted);
    await eventually("every replica has every accepted change", async () => {
      const histories = await Promise.all(
        fleet.adminAddresses.map((one) => getJson(`http://${one}/v1/history`)),
      );
      return histories.every((history) => {
        const versions = (history?.changes ?? []) as { version: number }[];
        const held = new Set(versions.map((change) => change.version));
        return accepted.every((version) => held.has(version)) &&
          Number(history?.version) >= newest;
      });
    });
  });
});

test("check reports every error in a broken overlay", async (t) => {
  const ended = await runCommand([
    "check",
    examplePath("base.toml"),
    examplePath("broken-overlay.toml"),
  ]);
  t.equal(ended.code, 2);
  t.match(
    ended.stderr,
    /services\.billing\.slotz: found an unknown key, expected "slots"/,
  );
  t.match(ended.stderr, /services\.billing\.cold_limit: found "two"/);
  t.match(ended.stderr, /domains: found a list without \["unassigned"\]/);
});
