/**
 * Calls of the platform's APIs against a whole process: valid, malformed,
 * resent and out of order.
 */
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  callUntilClear,
  callUrl,
  createManifest,
  HOST,
  INSTANCE,
  putManifest,
  sendRequest,
  SERVICE,
  startHarness,
  startServingHarness,
} from "./harness.ts";

test("operator API", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const config = `${harness.operator}/config`;

  await t.test("a manifest is returned as it was sent", async (t) => {
    const answer = await callUrl(config);
    t.equal(answer.status, 200);
    t.same(JSON.parse(answer.body), JSON.parse(createManifest("00000002")));
  });

  await t.test("a resend is acknowledged, a conflicting change is rejected", async (t) => {
    const next = createManifest("00000005", { timeout: "900ms" });
    t.equal((await putManifest(harness, next, "00000002")).status, 200);
    t.equal(
      (await putManifest(harness, next, "00000002")).status,
      200,
      "sent again",
    );
    const conflicting = createManifest("00000005", { timeout: "901ms" });
    t.equal((await putManifest(harness, conflicting, "00000002")).status, 412);
    t.equal(
      (await putManifest(harness, createManifest("00000005"), "00000005"))
        .status,
      400,
      "a version that is not above the current one",
    );
    const read = JSON.parse((await callUrl(config)).body);
    t.equal(read.version, "00000005");
    t.equal(read.resources[0].spec.timeout, "900ms");
  });

  await t.test("a change of named resources and its resend are acknowledged", async (t) => {
    const patch = (body: unknown, ifMatch: string) =>
      callUrl(config, {
        method: "PATCH",
        headers: { "if-match": ifMatch },
        body: JSON.stringify(body),
      });
    const added = {
      type: "routes",
      metadata: { name: "r-new" },
      spec: {
        host: "shop.example",
        path_prefix: "/read/new/",
        kind: "idempotent",
        timeout: "500ms",
        service: SERVICE,
      },
    };
    const change = {
      version: "00000007",
      upsert: { resources: [added] },
      delete: { routes: ["r-pay"] },
    };
    t.equal((await patch(change, "00000005")).status, 200);
    t.equal((await patch(change, "00000005")).status, 200, "sent again");
    t.equal(
      (await patch({ version: "00000008" }, "00000005")).status,
      412,
      "a change based on an outdated version",
    );
    const { version, resources } = JSON.parse((await callUrl(config)).body);
    const names = resources.map((
      one: { metadata: { name?: string } },
    ) => one.metadata.name);
    t.equal(version, "00000007");
    t.same(names, ["r-read", SERVICE, undefined, "r-new"]);
    await eventually(
      "the removed route is no longer served",
      async () =>
        (await sendRequest(harness, "/pay/1", { method: "POST" })).status ===
          404,
    );
  });

  await t.test("an invalid manifest is rejected and changes nothing", async (t) => {
    const before = (await callUrl(config)).body;
    const current = "00000007";
    const valid = createManifest("0000000a");
    const edited = (edit: (spec: Record<string, unknown>) => void) => {
      const value = JSON.parse(valid);
      edit(value.resources[0].spec);
      return JSON.stringify(value);
    };
    const invalid: [string, string][] = [
      ["truncated JSON", valid.slice(0, -40)],
      ["an unknown service", edited((spec) => spec.service = "none")],
      [
        "a duplicate host and prefix",
        edited((spec) => spec.path_prefix = "/pay/"),
      ],
      ["a timeout over ten minutes", edited((spec) => spec.timeout = "601s")],
      ["no timeout", edited((spec) => delete spec.timeout)],
      [
        "a weight below 0",
        edited((spec) =>
          spec.traffic_split = [{ service: SERVICE, weight: -1 }]
        ),
      ],
      [
        "no weight",
        edited((spec) => spec.traffic_split = [{ service: SERVICE }]),
      ],
      ["a version that is not hexadecimal", valid.replace("0000000a", "ten")],
    ];
    for (const [name, text] of invalid) {
      const answer = await putManifest(harness, text, current);
      t.equal(answer.status, 400, name);
      t.ok(JSON.parse(answer.body).error, `${name} gets an error message`);
    }
    t.equal((await putManifest(harness, valid, "no version")).status, 400);
    t.equal((await callUrl(config)).body, before);
  });

  await t.test("a failure domain is evacuated and returned to service", async (t) => {
    const evacuation = `${harness.operator}/evacuations/east`;
    t.equal((await callUntilClear(evacuation, { method: "POST" })).status, 200);
    t.equal(
      (await callUntilClear(evacuation, { method: "POST" })).status,
      200,
      "sent again",
    );
    await eventually(
      "no request is sent to the evacuated domain",
      async () => (await sendRequest(harness, "/read/1")).status === 503,
    );
    t.equal(
      (await callUntilClear(evacuation, { method: "DELETE" })).status,
      200,
    );
    await eventually(
      "requests are sent to the domain again",
      async () => (await sendRequest(harness, "/read/1")).status === 200,
    );
    const unknown = `${harness.operator}/evacuations/nowhere`;
    t.equal((await callUrl(unknown, { method: "POST" })).status, 400);
    t.equal((await callUrl(`${harness.operator}/other`)).status, 404);
  });
});

test("node API", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);

  await t.test("an invalid heartbeat is rejected and changes nothing", async (t) => {
    t.equal((await harness.sendHeartbeat({ seq: "four" })).status, 400);
    t.equal((await harness.sendHeartbeat({ state: "asleep" })).status, 400);
    t.equal((await harness.sendHeartbeat({ service: "other" })).status, 400);
    t.equal(
      (await harness.sendHeartbeat({ address: `${HOST}:1` })).status,
      400,
    );
    t.equal((await harness.sendHeartbeat({ zone: "west" })).status, 400);
    const malformed = await callUrl(`${harness.nodeApi}/instances/i`, {
      method: "PUT",
      body: "not JSON",
    });
    t.equal(malformed.status, 400);
    t.equal(harness.process.node!.guard.announced?.instance, INSTANCE);
    t.equal((await sendRequest(harness, "/read/1")).status, 200);
  });

  await t.test("a late heartbeat of an earlier start changes nothing", async (t) => {
    t.equal((await harness.sendHeartbeat({ born: 500 }, "i-zero")).status, 409);
    t.equal(
      (await harness.sendHeartbeat({ born: 500 })).status,
      409,
      "an earlier start with the same id",
    );
    t.equal(
      (await harness.sendHeartbeat({ seq: 0 })).status,
      200,
      "an older heartbeat of the current start",
    );
    t.equal(harness.process.node!.guard.announced?.instance, INSTANCE);
  });

  await t.test("a late heartbeat of a start that has left is rejected", async (t) => {
    const start = { born: 9_000 };
    t.equal(
      (await harness.sendHeartbeat({ ...start, state: "draining" }, "i-nine"))
        .status,
      200,
      "draining of a start that the node does not know",
    );
    t.equal(
      (await harness.sendHeartbeat(start, "i-nine")).status,
      409,
      "a late heartbeat after draining",
    );
    const removed = await callUntilClear(`${harness.nodeApi}/instances/i-ten`, {
      method: "DELETE",
    });
    t.equal(removed.status, 200);
    t.equal(
      (await harness.sendHeartbeat(start, "i-ten")).status,
      409,
      "a late heartbeat after the removal",
    );
    t.equal(harness.process.node!.guard.announced?.instance, INSTANCE);
  });

  await t.test("a draining server gets no more requests", async (t) => {
    t.equal((await harness.sendHeartbeat({ state: "draining" })).status, 200);
    const receivedBefore = harness.received.length;
    t.equal((await sendRequest(harness, "/read/1")).status, 503);
    t.equal(harness.received.length, receivedBefore);
    t.equal(
      (await harness.sendHeartbeat()).status,
      200,
      "its later heartbeats are accepted",
    );
    t.equal((await sendRequest(harness, "/read/1")).status, 503);
  });

  await t.test("a new start gets requests until it is removed", async (t) => {
    t.equal((await harness.sendHeartbeat({ born: 2_000 })).status, 200);
    await eventually(
      "the new start gets requests",
      async () => (await sendRequest(harness, "/read/1")).status === 200,
    );
    const removed = await callUntilClear(
      `${harness.nodeApi}/instances/${INSTANCE}`,
      {
        method: "DELETE",
      },
    );
    t.equal(removed.status, 200);
    t.equal((await sendRequest(harness, "/read/1")).status, 503);
  });
});

test("a node without a configuration is not ready and answers 503", async (t) => {
  const harness = await startHarness();
  t.teardown(harness.stop);
  t.equal((await callUrl(`${harness.ready}/readiness`)).status, 503);
  const answer = await sendRequest(harness, "/read/1");
  t.equal(answer.status, 503, "not 404, since the routes are not known yet");
  t.ok(Number(answer.headers["retry-after"]) > 0);
  t.equal((await callUrl(`${harness.operator}/config`)).status, 503);
});
