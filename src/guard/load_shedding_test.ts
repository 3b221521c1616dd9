import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFailingShare } from "./failing_share.ts";
import { isTurnedAway, type Moment, sheddingReason } from "./load_shedding.ts";

const FINE: Moment = {
  slowness: 1,
  reportAgeMs: 10,
  waitMs: 0,
  slackMs: 100,
  failingShare: 0,
};

test("work goes elsewhere while a server is slow, full or failing", (t) => {
  t.equal(sheddingReason(FINE), undefined);
  t.equal(sheddingReason({ ...FINE, slowness: 5 }), "slow");
  t.equal(sheddingReason({ ...FINE, slowness: 1.2 }), undefined);
  t.equal(
    sheddingReason({ ...FINE, slowness: 5, reportAgeMs: 1_000 }),
    undefined,
    "an old report says nothing",
  );
  t.equal(sheddingReason({ ...FINE, waitMs: 60 }), "busy");
  t.equal(
    sheddingReason({ ...FINE, waitMs: 8 }),
    undefined,
    "a turn away is longer",
  );
  t.equal(
    sheddingReason({ ...FINE, waitMs: 8, slackMs: 3 }),
    "busy",
    "it would miss its objective by waiting",
  );
  t.equal(sheddingReason({ ...FINE, failingShare: 0.5 }), "failing");
  t.ok(isTurnedAway("slow") && isTurnedAway("busy") && isTurnedAway("failing"));
  t.notOk(isTurnedAway("overloaded"));
  t.end();
});

test("a server that fails fast turns work away, and is tried again", async (t) => {
  const timer = createFakeTimer();
  const failing = createFailingShare(timer);
  const turned = () =>
    sheddingReason({ ...FINE, failingShare: failing.share() }) === "failing";
  for (let count = 0; count < 100; count++) {
    failing.note(count % 100 === 0);
    await timer.advance(30);
  }
  t.notOk(turned(), "one failure in a hundred is usual");
  let noted = 0;
  while (!turned()) {
    failing.note(noted++ % 2 === 0);
    await timer.advance(30);
  }
  t.ok(noted * 30 < 500, `half of them failing is seen in ${noted * 30} ms`);
  await timer.advance(2_000);
  t.notOk(turned());
});
