/**
 * Guards against a backend server that writes the refusal of an earlier request
 * once more on a kept connection: the next request may run all the same, so its
 * caller must not be told that it did not run.
 */
import { test } from "tap";
import { sendRequest, startServingHarness } from "./harness.ts";
import {
  formatAnswer,
  type RawAnswer,
  REFUSED,
  sendTo,
  SIGNED,
  startAnswers,
} from "./raw_answers.ts";

const SERVED: RawAnswer = { status: 200, id: "one", lines: SIGNED };
const REFUSALS: Record<string, RawAnswer> = {
  "a refusal": { status: 503, id: "one", lines: REFUSED },
  "a refusal with status 429": { status: 429, id: "one", lines: REFUSED },
  "the answer of another instance": { status: 421, id: "one" },
};
for (const [name, refusal] of Object.entries(REFUSALS)) {
  test(`${name} to another request is no answer to this one`, async (t) => {
    const { server, backend } = await startAnswers([SERVED, refusal]);
    t.teardown(server.close);
    t.equal(await sendTo(backend, "one"), 200);
    t.equal(await sendTo(backend, "two"), "backend.defective");
    t.equal(server.connections.length, 1, "both used one connection");
  });

  test(`${name} to this request is believed`, async (t) => {
    const { server, backend } = await startAnswers([SERVED, {
      ...refusal,
      id: "two",
    }]);
    t.teardown(server.close);
    t.equal(await sendTo(backend, "one"), 200);
    t.equal(await sendTo(backend, "two"), refusal.status);
  });
}

test("a request that runs while its server repeats an earlier refusal is not said to be not run", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const refusal = formatAnswer({ status: 503, id: "first", lines: REFUSED });
  harness.setBehaviour((_received, { req }) => req.socket.write(refusal));
  const refused = await sendRequest(harness, "/pay/1", {
    method: "POST",
    id: "first",
  });
  t.equal(refused.status, 503, "the refusal of its own request is passed on");
  const answer = await sendRequest(harness, "/pay/2", {
    method: "POST",
    id: "second",
  });
  t.equal(answer.status, 502);
});
