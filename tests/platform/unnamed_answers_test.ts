/**
 * Guards against an answer without a request id on a kept connection: it may be
 * the late answer to an earlier request or to a health check.
 */
import { test } from "tap";
import { type RawAnswer, sendTo, SIGNED, startAnswers } from "./raw_answers.ts";

const SERVED: RawAnswer = { status: 200, id: "one", lines: SIGNED };
const UNNAMED: Record<string, RawAnswer> = {
  "a success": { status: 200, lines: SIGNED },
  "a failure": { status: 500, lines: SIGNED },
  "an unhealthy answer": { status: 503 },
};
for (const [name, answer] of Object.entries(UNNAMED)) {
  test(`${name} that names no request is no answer on a kept connection`, async (t) => {
    const { server, backend } = await startAnswers([SERVED, answer]);
    t.teardown(server.close);
    t.equal(await sendTo(backend, "one"), 200);
    t.equal(await sendTo(backend, "two"), "backend.defective");
    t.equal(server.connections.length, 1, "both used one connection");
  });

  test(`${name} that names no request is believed on a new connection`, async (t) => {
    const { server, backend } = await startAnswers([answer]);
    t.teardown(server.close);
    t.equal(await sendTo(backend, "one"), answer.status);
  });
}
