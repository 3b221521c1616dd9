/**
 * Guards against a health check that takes the late answer to a request for its
 * own: the server would count as healthy, and the load and the cold start that
 * the answer states would be applied.
 */
import { test } from "tap";
import { createFakeServerLink } from "../../src/guard/fake_server_link.ts";
import {
  createPlatformBackend,
  type RawAnswer,
  SIGNED,
  startAnswers,
} from "./raw_answers.ts";

const LOAD = "x-mustardcross-server-load: 7,7,7\r\n";
const COLD = "x-mustardcross-cold-ms: 9000\r\n";
const HEALTHY: RawAnswer = { status: 200, lines: LOAD };
const SERVED: RawAnswer = { status: 200, id: "one" };

for (const lines of [LOAD + COLD, SIGNED + LOAD + COLD]) {
  const kind = lines.startsWith(SIGNED) ? "a signed" : "an unsigned";
  test(`a health check does not believe ${kind} answer to a request`, async (t) => {
    const { server } = await startAnswers([HEALTHY, { ...SERVED, lines }]);
    t.teardown(server.close);
    const coldMs: number[] = [];
    const { link } = createFakeServerLink(server.address, {
      createBackend: createPlatformBackend,
      onCold: (ms) => coldMs.push(ms),
    });
    t.ok(await link.probe());
    coldMs.length = 0;
    t.notOk(await link.probe());
    t.same(coldMs, [], "nothing in the answer is applied");
  });
}
