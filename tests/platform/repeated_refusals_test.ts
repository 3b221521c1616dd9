/**
 * Guards against a backend server that writes a refusal twice, where the second
 * copy cannot be told from a refusal of the next request: that one has the same
 * id, or refusals name no request.
 */
import { test } from "tap";
import { answerNormally, sendRequest, startServingHarness } from "./harness.ts";
import {
  formatAnswer,
  REFUSED,
  sendTo,
  SIGNED,
  startAnswers,
} from "./raw_answers.ts";

const NAMES: Record<string, string | undefined> = {
  "its own request": "one",
  "no request": undefined,
};
for (const [name, id] of Object.entries(NAMES)) {
  test(`no request follows on a connection after a refusal that names ${name}`, async (t) => {
    const { server, backend } = await startAnswers([
      { status: 503, id, lines: REFUSED },
      { status: 200, id: "one", lines: SIGNED },
    ]);
    t.teardown(server.close);
    t.equal(await sendTo(backend, "one"), 503);
    t.equal(await sendTo(backend, "one"), 200);
    t.equal(server.connections.length, 2);
  });

  test(`a second copy of a refusal that names ${name} does not reach a caller`, async (t) => {
    const harness = await startServingHarness();
    t.teardown(harness.stop);
    const refusal = formatAnswer({ status: 503, id, lines: REFUSED });
    const refusedOn = new Set<unknown>();
    harness.setBehaviour((received, response) => {
      const { socket } = response.req;
      if (refusedOn.size === 0 || refusedOn.has(socket)) {
        refusedOn.add(socket);
        socket.write(refusal);
      } else {
        answerNormally(received, response);
      }
    });
    const options = { method: "POST", id: "one" } as const;
    t.equal((await sendRequest(harness, "/pay/1", options)).status, 503);
    t.equal((await sendRequest(harness, "/pay/1", options)).status, 200);
  });
}
