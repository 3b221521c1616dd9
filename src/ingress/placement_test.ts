import { test } from "tap";
import { createPolicy } from "../choosing/mod.ts";
import type { Member } from "../control/commands.ts";
import { createSeededRandom } from "../core/random.ts";
import { createMetrics } from "../metrics/metrics.ts";
import type { Load } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createAnswerSizes } from "./answer_sizes.ts";
import { createHints } from "./hints.ts";
import { createPlacement } from "./placement.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Servers of the largest service that one node calls. */
const MANY_SERVERS = 110;
/** Servers that one choice may compare, at a service of any size. */
const MAX_COMPARED = 16;
const SLOTS = 6;
const NOTHING_AVOIDED: ReadonlySet<string> = new Set();

const routed = {
  route: { service: "billing" },
  settings: { class: "look" },
} as RoutedCall;

function createLoad(change: Partial<Load> = {}): Load {
  return {
    inFlight: 0,
    allowed: SLOTS,
    queued: 0,
    version: 1,
    slowness: 1,
    incarnation: "one",
    ...change,
  };
}

/** A placement among servers, with a count of the hints that it has read. */
function build(servers: number) {
  const timer = createFakeTimer();
  const hints = createHints(timer);
  const members = Array.from({ length: servers }, (_, index) => ({
    server: `server${index}`,
    domain: "east",
    slots: SLOTS,
    incarnation: "one",
    boot: "first",
  })) as Member[];
  let read = 0;
  const placement = createPlacement({
    vm: "own",
    domain: "east",
    directory: {
      service: () => ({ members }),
      inService: () => true,
    } as unknown as Directory,
    hints: {
      ...hints,
      candidate(member, domain) {
        read++;
        return hints.candidate(member, domain);
      },
    },
    policy: createPolicy("expected_wait", { staleAfterMs: () => 200 }),
    sizes: createAnswerSizes(),
    metrics: createMetrics(),
    random: createSeededRandom(1),
    canStartLocally: () => false,
  });
  return { timer, hints, members, placement, readHints: () => read };
}

test("a choice among many servers compares a few of them", (t) => {
  const { placement, readHints } = build(MANY_SERVERS);
  const choices = 100;
  const chosen = new Set<string>();
  for (let count = 0; count < choices; count++) {
    chosen.add(placement.choose(routed, NOTHING_AVOIDED)!.server);
  }
  const average = readHints() / choices;
  t.ok(average <= MAX_COMPARED + 2, `${average} servers a choice`);
  t.ok(chosen.size > choices / 3, "requests are spread over the servers");
  t.end();
});

test("the state of a fleet with an old report is known from few reports", (t) => {
  const { placement, hints, members, readHints, timer } = build(MANY_SERVERS);
  t.same(placement.fleetState(routed, NOTHING_AVOIDED), { allReported: false });
  t.ok(readHints() <= 1);
  members.forEach(({ server }) =>
    hints.recordLoad(server, createLoad({ inFlight: SLOTS, queued: 2 }))
  );
  const state = placement.fleetState(routed, NOTHING_AVOIDED);
  t.ok(state.allReported);
  t.ok(state.earliest, "all are full");
  hints.recordLoad(members.at(-1)!.server, createLoad());
  t.same(placement.fleetState(routed, NOTHING_AVOIDED), { allReported: true });
  void timer.advance(1_000).then(() => {
    t.same(placement.fleetState(routed, NOTHING_AVOIDED), {
      allReported: false,
    });
    t.end();
  });
});

test("a cold server among many gets its share of requests", (t) => {
  const { placement, hints, members } = build(MANY_SERVERS);
  members.forEach(({ server }) => hints.recordLoad(server, createLoad()));
  hints.recordLoad(members[7].server, createLoad({ allowed: 1 }));
  let cold = 0;
  for (let count = 0; count < 5_000; count++) {
    const { server } = placement.choose(routed, NOTHING_AVOIDED)!;
    cold += server === members[7].server ? 1 : 0;
  }
  t.ok(cold >= 20, `${cold} of 5,000 requests`);
  t.end();
});
