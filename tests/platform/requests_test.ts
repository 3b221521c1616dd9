/**
 * Requests over the platform's HTTP, seen by callers and by the backend server.
 */
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  answerNormally,
  callUrl,
  INSTANCE,
  sendRequest,
  SERVICE,
  startServingHarness,
} from "./harness.ts";

test("requests", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  await eventually(
    "the node is ready",
    async () => (await callUrl(`${harness.ready}/readiness`)).status === 200,
  );

  await t.test("request and answer are forwarded with the platform's headers", async (t) => {
    harness.received.length = 0;
    const answer = await sendRequest(harness, "/pay/7%2F8?q=1&r=%20", {
      method: "POST",
      id: "id-7",
      body: "five rupees",
      headers: {
        "x-other": "kept",
        "x-mustardcross-caller-service": "somebody-else",
        "x-mustardcross-expected-instance": "somebody-else",
      },
    });
    t.equal(answer.status, 200);
    t.equal(answer.body, "POST /pay/7%2F8?q=1&r=%20 five rupees");
    t.equal(answer.headers["x-mustardcross-response-signature"], "signed-id-7");
    t.equal(answer.headers["x-mustardcross-request-id"], "id-7");
    t.equal(harness.received.length, 1);
    const { headers } = harness.received[0];
    t.equal(headers.host, "shop.example");
    t.equal(headers["x-other"], "kept");
    t.equal(headers["x-mustardcross-request-id"], "id-7");
    t.equal(headers["x-mustardcross-caller-service"], SERVICE);
    t.equal(headers["x-mustardcross-expected-instance"], INSTANCE);
    const left = Number(headers["x-mustardcross-request-deadline-ms"]);
    t.ok(left > 0 && left <= 700, `a deadline of ${left} ms, out of 700 ms`);
  });

  await t.test("routes are matched by host and path prefix", async (t) => {
    t.equal(
      (await sendRequest(harness, "/read/x", { host: "SHOP.example:80" }))
        .status,
      200,
    );
    t.equal(
      (await sendRequest(harness, "/read/x", { host: "other.example" })).status,
      404,
    );
    t.equal((await sendRequest(harness, "/rea")).status, 404);
    t.equal((await sendRequest(harness, "/")).status, 404);
  });

  await t.test("a not-executed answer becomes a 503 with retry-after", async (t) => {
    harness.received.length = 0;
    harness.setBehaviour((_request, response) => {
      response.writeHead(503, { "x-mustardcross-not-executed": "1" });
      response.end();
    });
    const answer = await sendRequest(harness, "/pay/1", { method: "POST" });
    t.equal(answer.status, 503);
    t.ok(Number(answer.headers["retry-after"]) > 0);
  });

  await t.test("a 503 after a run becomes a 502", async (t) => {
    harness.setBehaviour((request, response) => {
      response.writeHead(503, {
        "x-mustardcross-request-id":
          request.headers["x-mustardcross-request-id"],
        "x-mustardcross-response-signature": "signed",
      });
      response.end("busy");
    });
    const answer = await sendRequest(harness, "/pay/1", { method: "POST" });
    t.equal(answer.status, 502);
    t.equal(answer.headers["x-mustardcross-response-signature"], undefined);
  });

  await t.test("an answer that is not to this request is not forwarded", async (t) => {
    const wrong: [string, Record<string, string>][] = [
      ["to another request", {
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
    for (const [name, headers] of wrong) {
      harness.received.length = 0;
      harness.setBehaviour((_request, response) => {
        response.writeHead(200, headers);
        response.end("wrong");
      });
      const answer = await sendRequest(harness, "/pay/1", { method: "POST" });
      t.equal(answer.status, 502, name);
      t.equal(harness.received.length, 1, "the request runs once");
    }
  });

  await t.test("a request ends at its route's timeout", async (t) => {
    harness.setBehaviour(() => {});
    const answer = await sendRequest(harness, "/read/slow", {
      headers: { "x-mustardcross-request-deadline-ms": "150" },
    });
    t.equal(answer.status, 504);
    harness.setBehaviour(answerNormally);
  });
});
