import { test } from "tap";
import type { Answer } from "../network/frames.ts";
import { createAnswerSizes } from "./answer_sizes.ts";
import type { ReceivedAnswer } from "./exchange_end.ts";

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

test("the average size of a class follows its answers", (t) => {
  const sizes = createAnswerSizes();
  t.equal(
    sizes.averageBytes("drawing"),
    0,
    "the size is 0 before an answer is recorded",
  );
  sizes.record("drawing", received(new Uint8Array(1_000)));
  t.equal(sizes.averageBytes("drawing"), 1_000);
  sizes.record("drawing", received(new Uint8Array(2_000)));
  t.ok(
    sizes.averageBytes("drawing") > 1_000 &&
      sizes.averageBytes("drawing") < 2_000,
  );
  t.equal(
    sizes.averageBytes("lookup"),
    0,
    "request classes have separate averages",
  );
  t.end();
});

test("the size of a stream is its declared length", (t) => {
  const sizes = createAnswerSizes();
  sizes.record("a", received(nothing(), [["content-length", "90000"]]));
  t.equal(sizes.averageBytes("a"), 90_000);
  sizes.record("b", received(nothing()));
  t.equal(
    sizes.averageBytes("b"),
    100,
    "without a declared length, the first part counts",
  );
  t.end();
});
