/**
 * Guards against a backend server that stops in the middle of its answer's head
 * and closes: its caller must not get a success with an empty or a short body.
 */
import { test } from "tap";
import { sendRequest, startServingHarness } from "./harness.ts";
import { formatAnswer, SIGNED } from "./raw_answers.ts";

const ID = "one";
const ANSWER = formatAnswer({ status: 200, id: ID, lines: SIGNED });
const HEAD_LENGTH = ANSWER.indexOf("\r\n\r\n") + "\r\n\r\n".length;

test("an answer that is cut in its head reaches no caller as a success", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  let length = 0;
  harness.setBehaviour((_received, { req }) =>
    req.socket.end(ANSWER.slice(0, length))
  );
  for (length = 0; length <= HEAD_LENGTH; length++) {
    const answer = await sendRequest(harness, "/pay/1", {
      method: "POST",
      id: ID,
    });
    t.equal(answer.status, 502, `cut after ${length} bytes`);
  }
  length = ANSWER.length;
  const whole = await sendRequest(harness, "/pay/1", {
    method: "POST",
    id: ID,
  });
  t.equal(whole.status, 200);
  t.equal(whole.body, "ok");
});
