import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFailureRatio } from "./failure_ratio.ts";
import {
  findTurnAwayReason,
  isTurnedAway,
  type TurnAwayInputs,
} from "./turn_away.ts";

const FINE: TurnAwayInputs = {
  slowness: 1,
  reportAgeMs: 10,
  waitMs: 0,
  slackMs: 100,
  failureRatio: 0,
};

test("requests are turned away while a server is slow, full or failing", (t) => {
  t.equal(findTurnAwayReason(FINE), undefined);
  t.equal(findTurnAwayReason({ ...FINE, slowness: 5 }), "slow");
  t.equal(findTurnAwayReason({ ...FINE, slowness: 1.2 }), undefined);
  t.equal(
    findTurnAwayReason({ ...FINE, slowness: 5, reportAgeMs: 1_000 }),
    undefined,
    "an old report is ignored",
  );
  t.equal(findTurnAwayReason({ ...FINE, waitMs: 60 }), "busy");
  t.equal(
    findTurnAwayReason({ ...FINE, waitMs: 8 }),
    undefined,
    "asking another guard takes longer than the wait",
  );
  t.equal(
    findTurnAwayReason({ ...FINE, waitMs: 8, slackMs: 3 }),
    "busy",
    "the wait would miss the objective",
  );
  t.equal(findTurnAwayReason({ ...FINE, failureRatio: 0.5 }), "failing");
  t.ok(isTurnedAway("slow") && isTurnedAway("busy") && isTurnedAway("failing"));
  t.notOk(isTurnedAway("overloaded"));
  t.end();
});

test("requests to a server that fails fast are turned away, and the server is tried again later", async (t) => {
  const timer = createFakeTimer();
  const failing = createFailureRatio(timer);
  const turnsAway = () =>
    findTurnAwayReason({ ...FINE, failureRatio: failing.ratio() }) ===
      "failing";
  for (let count = 0; count < 100; count++) {
    failing.note(count % 100 === 0);
    await timer.advance(30);
  }
  t.notOk(turnsAway(), "one failure in a hundred is usual");
  let noted = 0;
  while (!turnsAway()) {
    failing.note(noted++ % 2 === 0);
    await timer.advance(30);
  }
  t.ok(
    noted * 30 < 500,
    `half of all requests failing is detected in ${noted * 30} ms`,
  );
  await timer.advance(2_000);
  t.notOk(turnsAway());
});
