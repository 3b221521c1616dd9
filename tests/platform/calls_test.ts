/**
 * Each call of the platform against a whole process: good ones, malformed
 * ones, ones sent again, and ones out of order.
 */
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  ask,
  call,
  HOST,
  INSTANCE,
  manifest,
  put,
  SERVICE,
  startLab,
  startServingLab,
} from "./lab.ts";

test("operators' calls", async (t) => {
  const lab = await startServingLab();
  t.teardown(lab.end);
  const config = `${lab.operator}/config`;

  await t.test("a manifest is read back as it was sent", async (t) => {
    const got = await call(config);
    t.equal(got.status, 200);
    t.same(JSON.parse(got.body), JSON.parse(manifest("00000002")));
  });

  await t.test("a resend is acknowledged, a rival is not", async (t) => {
    const next = manifest("00000005", { timeout: "900ms" });
    t.equal((await put(lab, next, "00000002")).status, 200);
    t.equal((await put(lab, next, "00000002")).status, 200, "sent again");
    const rival = manifest("00000005", { timeout: "901ms" });
    t.equal((await put(lab, rival, "00000002")).status, 412);
    t.equal(
      (await put(lab, manifest("00000005"), "00000005")).status,
      400,
      "a number that is not above the current one",
    );
    const read = JSON.parse((await call(config)).body);
    t.equal(read.version, "00000005");
    t.equal(read.resources[0].spec.timeout, "900ms");
  });

  await t.test("a change of named items, sent again", async (t) => {
    const patch = (body: unknown, ifMatch: string) =>
      call(config, {
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
      "built on what is not current any more",
    );
    const { version, resources } = JSON.parse((await call(config)).body);
    const names = resources.map((
      one: { metadata: { name?: string } },
    ) => one.metadata.name);
    t.equal(version, "00000007");
    t.same(names, ["r-read", SERVICE, undefined, "r-new"]);
    await eventually(
      "the dropped route is gone",
      async () => (await ask(lab, "/pay/1", { method: "POST" })).status === 404,
    );
  });

  await t.test("what is invalid changes nothing", async (t) => {
    const before = (await call(config)).body;
    const current = "00000007";
    const whole = manifest("0000000a");
    const edited = (edit: (spec: Record<string, unknown>) => void) => {
      const value = JSON.parse(whole);
      edit(value.resources[0].spec);
      return JSON.stringify(value);
    };
    const invalid: [string, string][] = [
      ["cut short", whole.slice(0, -40)],
      ["an unknown service", edited((spec) => spec.service = "none")],
      ["a place taken twice", edited((spec) => spec.path_prefix = "/pay/")],
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
      ["a version in words", whole.replace("0000000a", "ten")],
    ];
    for (const [what, text] of invalid) {
      const got = await put(lab, text, current);
      t.equal(got.status, 400, what);
      t.ok(JSON.parse(got.body).error, `${what} is explained`);
    }
    t.equal((await put(lab, whole, "no version")).status, 400);
    t.equal((await call(config)).body, before);
  });

  await t.test("a failure domain is emptied and taken back", async (t) => {
    const zone = `${lab.operator}/evacuations/east`;
    t.equal((await call(zone, { method: "POST" })).status, 200);
    t.equal((await call(zone, { method: "POST" })).status, 200, "sent again");
    await eventually(
      "nothing is sent there",
      async () => (await ask(lab, "/read/1")).status === 503,
    );
    t.equal((await call(zone, { method: "DELETE" })).status, 200);
    await eventually(
      "work comes back",
      async () => (await ask(lab, "/read/1")).status === 200,
    );
    const unknown = `${lab.operator}/evacuations/nowhere`;
    t.equal((await call(unknown, { method: "POST" })).status, 400);
    t.equal((await call(`${lab.operator}/other`)).status, 404);
  });
});

test("backend servers' calls", async (t) => {
  const lab = await startServingLab();
  t.teardown(lab.end);

  await t.test("malformed ones are refused and change nothing", async (t) => {
    t.equal((await lab.beat({ seq: "four" })).status, 400);
    t.equal((await lab.beat({ state: "asleep" })).status, 400);
    t.equal((await lab.beat({ service: "other" })).status, 400);
    t.equal((await lab.beat({ address: `${HOST}:1` })).status, 400);
    t.equal((await lab.beat({ zone: "west" })).status, 400);
    const text = await call(`${lab.beats}/instances/i`, {
      method: "PUT",
      body: "not JSON",
    });
    t.equal(text.status, 400);
    t.equal(lab.process.node!.guard.announced?.instance, INSTANCE);
    t.equal((await ask(lab, "/read/1")).status, 200);
  });

  await t.test("late ones of an earlier start change nothing", async (t) => {
    t.equal((await lab.beat({ born: 500 }, "i-zero")).status, 409);
    t.equal((await lab.beat({ born: 500 })).status, 409, "with the same id");
    t.equal(
      (await lab.beat({ seq: 0 })).status,
      200,
      "an older one of its own",
    );
    t.equal(lab.process.node!.guard.announced?.instance, INSTANCE);
  });

  await t.test("a start that has left does not come back", async (t) => {
    const start = { born: 9_000 };
    t.equal(
      (await lab.beat({ ...start, state: "draining" }, "i-nine")).status,
      200,
      "the node has not heard of this start before",
    );
    t.equal((await lab.beat(start, "i-nine")).status, 409, "a late call");
    const removed = await call(`${lab.beats}/instances/i-ten`, {
      method: "DELETE",
    });
    t.equal(removed.status, 200);
    t.equal((await lab.beat(start, "i-ten")).status, 409, "late again");
    t.equal(lab.process.node!.guard.announced?.instance, INSTANCE);
  });

  await t.test("a server that leaves gets nothing more", async (t) => {
    t.equal((await lab.beat({ state: "draining" })).status, 200);
    const seen = lab.seen.length;
    t.equal((await ask(lab, "/read/1")).status, 503);
    t.equal(lab.seen.length, seen);
    t.equal((await lab.beat()).status, 200, "it may go on announcing itself");
    t.equal((await ask(lab, "/read/1")).status, 503);
  });

  await t.test("its successor gets work, and is removed", async (t) => {
    t.equal((await lab.beat({ born: 2_000 })).status, 200);
    await eventually(
      "the successor gets work",
      async () => (await ask(lab, "/read/1")).status === 200,
    );
    const gone = await call(`${lab.beats}/instances/${INSTANCE}`, {
      method: "DELETE",
    });
    t.equal(gone.status, 200);
    t.equal((await ask(lab, "/read/1")).status, 503);
  });
});

test("a node without a configuration promises nothing", async (t) => {
  const lab = await startLab();
  t.teardown(lab.end);
  t.equal((await call(`${lab.ready}/readiness`)).status, 503);
  const got = await ask(lab, "/read/1");
  t.equal(got.status, 503, "not 404: it knows of no route yet");
  t.ok(Number(got.headers["retry-after"]) > 0);
  t.equal((await call(`${lab.operator}/config`)).status, 503);
});
