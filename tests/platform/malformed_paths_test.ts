/**
 * Guards against a path whose escapes are malformed: its sender got no answer,
 * and its connection was closed.
 */
import { test } from "tap";
import { callUrl, startServingHarness } from "./harness.ts";

const BAD_REQUEST = 400;

test("a malformed escape in a path gets an answer", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const calls = [
    { url: `${harness.nodeApi}/instances/%`, method: "PUT" },
    { url: `${harness.nodeApi}/instances/%ff`, method: "DELETE" },
    { url: `${harness.operator}/evacuations/%`, method: "POST" },
  ] as const;
  for (const { url, method } of calls) {
    const { status, body } = await callUrl(url, { method, body: "{}" });
    t.equal(status, BAD_REQUEST, `${method} ${url}`);
    t.match(body, /malformed escape/);
  }
});
