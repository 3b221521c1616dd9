/**
 * Manifests that are acknowledged and then sent again, unchanged, to each core
 * machine. Between the two, the settings file of the core machines changes in
 * one bound, and they get SIGHUP.
 * @module
 */
import { fileURLToPath } from "node:url";
import {
  CannotRun,
  hex,
  LIMITS,
  route,
  service,
  sleep,
} from "../lib2/fleet.mjs";
import { runCase, TROUBLE } from "../lib2/record.mjs";

const SERVICE = "lot-service";
const NODES = 4;
const ROUNDS = 4;
const SETTLE_MS = 4_000;
const FIRST_EXTRA = 62;
/** Time for which an order is sent until it has a clear answer. */
const ACK_MS = 4_000;
/** Answers that end an order of the operator at once. */
const FINAL_STATUSES = new Set([200, 400, 409, 412, 413, 422]);

function createManifest(version) {
  return {
    version: hex(version),
    resources: [
      route("book", {
        kind: "non_idempotent",
        service: SERVICE,
        timeout: `${800 + version}ms`,
      }),
      service(SERVICE),
      LIMITS,
    ],
  };
}

await runCase(fileURLToPath(new URL(".", import.meta.url)), async (play) => {
  const { fleet, record } = play;

  /** Sends an order to one machine until it has a clear answer. */
  async function send(member, order) {
    const until = Date.now() + ACK_MS;
    while (Date.now() < until) {
      const answer = await member.call(order);
      if (FINAL_STATUSES.has(answer.status)) {
        return answer;
      }
      await sleep(100);
    }
    return { status: 0, body: "" };
  }

  /** Changes a bound in the settings file of a machine, and tells its process. */
  function changeSettings(member, extra) {
    member.writeSettings({ retry_budget_extra: extra });
    member.signal("SIGHUP");
    record.note(`${member.name}: retry_budget_extra is ${extra}, SIGHUP`);
  }

  fleet.add("control", 3);
  fleet.add("node", NODES, SERVICE);
  fleet.start();
  await sleep(SETTLE_MS);
  for (let round = 1; round <= ROUNDS; round++) {
    const order = {
      method: "PUT",
      path: "/config",
      headers: {
        "if-match": hex(round - 1),
        "content-type": "application/json",
      },
      body: JSON.stringify(createManifest(round)),
    };
    const first = await send(fleet.controls[0], order);
    record.note(`version ${round} is answered ${first.status}`);
    if (first.status !== 200) {
      throw new CannotRun("the manifest was not accepted");
    }
    if (TROUBLE) {
      for (const member of fleet.controls) {
        changeSettings(member, FIRST_EXTRA + round);
      }
    }
    await sleep(SETTLE_MS);
    for (const member of fleet.controls) {
      const { status, body } = await send(member, order);
      record.note(
        `version ${round}, sent again to ${member.name}: ${status} ${
          body.replaceAll(/\s+/g, " ")
        }`,
      );
      if (status >= 400 && status < 500) {
        record.violation(
          `${member.name} refuses version ${round}, which was acknowledged and ` +
            `is current, with ${status}`,
        );
      }
    }
  }
});
