/**
 * Guards against entries that are nested so deeply that code which walks them
 * overflows the stack: their sender got no answer and sent them again for ever.
 */
import { test } from "tap";
import {
  callUrl,
  createManifest,
  type Harness,
  putManifest,
  sendRequest,
  startServingHarness,
} from "./harness.ts";

const DEPTH = 20_000;
const NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);
const MANIFEST = createManifest("00000005");
const BASE = "00000002";
const BAD_REQUEST = 400;

/** Places of a manifest in which a nested value stands. */
const MANIFESTS: Record<string, string> = {
  "beside its fields": MANIFEST.replace("{", `{"odd":${NESTED},`),
  "in a resource of an unknown type": MANIFEST.replace(
    `"resources":[`,
    `"resources":[{"type":"odd","metadata":{},"spec":{"odd":${NESTED}}},`,
  ),
  "in an unknown field of a route": MANIFEST.replace(
    `"kind":"idempotent"`,
    `"kind":"idempotent","odd":${NESTED}`,
  ),
  "in place of a name": MANIFEST.replace(`"r-read"`, NESTED),
};

async function serves(harness: Harness): Promise<boolean> {
  return (await sendRequest(harness, "/read/x")).status === 200;
}

test("nested entries are refused at the door", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);

  for (const [place, text] of Object.entries(MANIFESTS)) {
    const { status, body } = await putManifest(harness, text, BASE);
    t.equal(status, BAD_REQUEST, `a manifest with one ${place}`);
    t.match(body, /levels deep/);
  }
  const upsert = {
    resources: [{ type: "odd", metadata: { name: "x" }, spec: {} }],
  };
  const patched = await callUrl(`${harness.operator}/config`, {
    method: "PATCH",
    headers: { "if-match": BASE },
    body: JSON.stringify({ version: "00000005", upsert })
      .replace(`"spec":{}`, `"spec":{"odd":${NESTED}}`),
  });
  t.equal(patched.status, BAD_REQUEST, "a change of named resources");
  t.match(patched.body, /levels deep/);

  const heartbeat = await callUrl(`${harness.nodeApi}/instances/other`, {
    method: "PUT",
    body: `{"service":${"[".repeat(7_000)}${"]".repeat(7_000)}}`,
  });
  t.equal(heartbeat.status, BAD_REQUEST, "a heartbeat");
  t.match(heartbeat.body, /levels deep/);

  t.equal((await harness.sendHeartbeat()).status, 200);
  t.ok(await serves(harness), "requests are served");
  const changed = await putManifest(harness, MANIFEST, BASE);
  t.equal(changed.status, 200, "the next manifest is accepted");
});
