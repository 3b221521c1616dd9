/**
 * Requests on the platform, as callers and the backend server see them.
 */
import { test } from "tap";
import { eventually } from "../processes.ts";
import { ask, call, INSTANCE, SERVICE, sound, startServingLab } from "./lab.ts";

test("requests", async (t) => {
  const lab = await startServingLab();
  t.teardown(lab.end);
  await eventually(
    "the node is ready",
    async () => (await call(`${lab.ready}/readiness`)).status === 200,
  );

  await t.test("what the server gets, and what the caller gets", async (t) => {
    lab.seen.length = 0;
    const got = await ask(lab, "/pay/7%2F8?q=1&r=%20", {
      method: "POST",
      id: "id-7",
      body: "five rupees",
      headers: {
        "x-other": "kept",
        "x-mustardcross-caller-service": "somebody-else",
        "x-mustardcross-expected-instance": "somebody-else",
      },
    });
    t.equal(got.status, 200);
    t.equal(got.body, "POST /pay/7%2F8?q=1&r=%20 five rupees");
    t.equal(got.headers["x-mustardcross-response-signature"], "signed-id-7");
    t.equal(got.headers["x-mustardcross-request-id"], "id-7");
    t.equal(lab.seen.length, 1);
    const { headers } = lab.seen[0];
    t.equal(headers.host, "shop.example");
    t.equal(headers["x-other"], "kept");
    t.equal(headers["x-mustardcross-request-id"], "id-7");
    t.equal(headers["x-mustardcross-caller-service"], SERVICE);
    t.equal(headers["x-mustardcross-expected-instance"], INSTANCE);
    const left = Number(headers["x-mustardcross-request-deadline-ms"]);
    t.ok(left > 0 && left <= 700, `${left} ms are left`);
  });

  await t.test("routes go by host and the longest prefix", async (t) => {
    t.equal(
      (await ask(lab, "/read/x", { host: "SHOP.example:80" })).status,
      200,
    );
    t.equal((await ask(lab, "/read/x", { host: "other.example" })).status, 404);
    t.equal((await ask(lab, "/rea")).status, 404);
    t.equal((await ask(lab, "/")).status, 404);
  });

  await t.test("proven not to have run: the promise is kept", async (t) => {
    lab.seen.length = 0;
    lab.behave((_seen, response) => {
      response.writeHead(503, { "x-mustardcross-not-executed": "1" });
      response.end();
    });
    const got = await ask(lab, "/pay/1", { method: "POST" });
    t.equal(got.status, 503);
    t.ok(Number(got.headers["retry-after"]) > 0);
  });

  await t.test("a busy answer after a run is no promise", async (t) => {
    lab.behave((seen, response) => {
      response.writeHead(503, {
        "x-mustardcross-request-id": seen.headers["x-mustardcross-request-id"],
        "x-mustardcross-response-signature": "signed",
      });
      response.end("busy");
    });
    const got = await ask(lab, "/pay/1", { method: "POST" });
    t.equal(got.status, 502);
    t.equal(got.headers["x-mustardcross-response-signature"], undefined);
  });

  await t.test("what is not this request's answer is not passed on", async (t) => {
    const wrong: [string, Record<string, string>][] = [
      ["another request's", {
        "x-mustardcross-request-id": "another",
        "x-mustardcross-response-signature": "signed",
      }],
      ["unsigned", { "x-mustardcross-request-id": "id-1" }],
      ["encoded", {
        "x-mustardcross-request-id": "id-1",
        "x-mustardcross-response-signature": "signed",
        "content-encoding": "gzip",
      }],
    ];
    for (const [what, headers] of wrong) {
      lab.seen.length = 0;
      lab.behave((_seen, response) => {
        response.writeHead(200, headers);
        response.end("wrong");
      });
      const got = await ask(lab, "/pay/1", { method: "POST" });
      t.equal(got.status, 502, what);
      t.equal(lab.seen.length, 1, "and it runs once");
    }
  });

  await t.test("a request ends at its route's timeout", async (t) => {
    lab.behave(() => {});
    const got = await ask(lab, "/read/slow", {
      headers: { "x-mustardcross-request-deadline-ms": "150" },
    });
    t.equal(got.status, 504);
    lab.behave(sound);
  });
});
