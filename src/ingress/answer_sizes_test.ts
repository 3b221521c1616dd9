import { test } from "tap";
import type { Answer } from "../network/frames.ts";
import { createAnswerSizes } from "./answer_sizes.ts";
import type { ReceivedAnswer } from "./conversation.ts";

async function* nothing(): AsyncGenerator<Uint8Array> {}

function received(
  body: ReceivedAnswer["body"],
  headers: Answer["headers"] = [],
): ReceivedAnswer {
  const first = body instanceof Uint8Array ? body : new Uint8Array(100);
  return {
    kind: "answer",
    body,
    answer: {
      kind: "answer",
      attempt: { source: "i", order: 1 },
      status: 200,
      headers,
      body: first,
      streaming: !(body instanceof Uint8Array),
      load: {
        inFlight: 0,
        allowed: 1,
        queued: 0,
        version: 1,
        slowness: 1,
        incarnation: "g",
      },
    },
  };
}

test("the usual size of a kind follows its answers", (t) => {
  const sizes = createAnswerSizes();
  t.equal(sizes.of("drawing"), 0, "nothing is known yet");
  sizes.note("drawing", received(new Uint8Array(1_000)));
  t.equal(sizes.of("drawing"), 1_000);
  sizes.note("drawing", received(new Uint8Array(2_000)));
  t.ok(sizes.of("drawing") > 1_000 && sizes.of("drawing") < 2_000);
  t.equal(sizes.of("lookup"), 0, "kinds are told apart");
  t.end();
});

test("a stream is as long as its head says", (t) => {
  const sizes = createAnswerSizes();
  sizes.note("a", received(nothing(), [["content-length", "90000"]]));
  t.equal(sizes.of("a"), 90_000);
  sizes.note("b", received(nothing()));
  t.equal(sizes.of("b"), 100, "or else as what has come of it");
  t.end();
});
