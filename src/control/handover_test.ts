import { test } from "tap";
import { silentLogger } from "../core/logger.ts";
import { createCondition } from "../core/tasks.ts";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { openFakeLog } from "./fake_log.ts";
import { fakeReplica } from "./fake_replica.ts";
import { handOverTo } from "./handover.ts";
import { handoverMethod } from "./methods.ts";
import { DEFAULT_TUNING } from "./tuning.ts";

const [a, b] = [fakeReplica("a"), fakeReplica("b")];

async function build() {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, 1);
  const askedAt: number[] = [];
  const peer = network.from(b.address);
  peer.handle(handoverMethod, () => {
    askedAt.push(timer.now());
    return Promise.resolve({ started: true });
  });
  await peer.listen(b.address);
  const matched = { index: 0 };
  const answered = createCondition(timer);
  const options = {
    term: 1,
    log: await openFakeLog({ membership: { voters: [a, b], learners: [] } }),
    rpc: network.from(a.address),
    timer,
    logger: silentLogger,
    signal: new AbortController().signal,
    tuning: DEFAULT_TUNING,
    answered,
    wake: () => {},
    matchedBy: () => matched.index,
  };
  return { timer, askedAt, matched, answered, options };
}

test("a follower is asked to start an election once it holds all entries", async (t) => {
  const { timer, askedAt, matched, answered, options } = await build();
  void handOverTo(b, options);
  await timer.advance(50);
  t.same(askedAt, []);
  matched.index = 1;
  answered.notifyAll();
  await timer.advance(2);
  t.same(askedAt, [51]);
});

test("a follower that stays behind is asked after an election timeout", async (t) => {
  const { timer, askedAt, options } = await build();
  void handOverTo(b, options);
  await timer.advance(DEFAULT_TUNING.electionMs + 2);
  t.same(askedAt, [DEFAULT_TUNING.electionMs + 1]);
});
