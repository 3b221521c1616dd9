/**
 * Random schedules of calls and faults. The promises P4, P5, P6 and P9 hold in
 * each schedule, and every call is answered in the end.
 */
import fc from "fast-check";
import { test } from "tap";
import { scenarioSchema, type Step } from "./language.ts";
import { runScenario } from "./runner.ts";

const RUNS = Number(process.env.RUNS ?? 40);
const SEED = Number(process.env.SEED ?? 20261204);
const SERVERS = 4;
const LENGTH_MS = 6_000;

const vm = fc.integer({ min: 1, max: SERVERS }).map((n) => `vm${n}`);
const control = fc.integer({ min: 1, max: 3 }).map((n) => `control${n}`);
const domain = fc.constantFrom("east", "north", "west");
const host = fc.oneof(vm, control);
const pair = fc.tuple(host, host).filter(([one, other]) => one !== other);
const vmPair = fc.tuple(vm, vm).filter(([one, other]) => one !== other);

type Action = Omit<Step, "at">;

const payment: fc.Arbitrary<Action> = fc.record({
  via: vm,
  key: fc.constantFrom("k1", "k2", "k3"),
}).map(({ via, key }) => ({
  call: { name: "", via, path: `/pay/${key}`, method: "POST", key },
}));
const unkeyedCall: fc.Arbitrary<Action> = fc.record({
  via: vm,
  method: fc.constantFrom("GET" as const, "POST" as const),
  leaves: fc.option(fc.integer({ min: 1, max: 200 }), { nil: undefined }),
}).map(({ via, method, leaves }) => ({
  call: {
    name: "",
    via,
    path: method === "GET" ? "/look/1" : "/pay/1",
    method,
    leaves_after_ms: leaves,
  },
}));
const fault: fc.Arbitrary<Action> = fc.oneof(
  vm.map((crash_server) => ({ crash_server })),
  vm.map((start_server) => ({ start_server })),
  vm.map((leave_server) => ({ leave_server })),
  vm.map((turn_cold) => ({ turn_cold })),
  vm.map((kill_node) => ({ kill_node })),
  vm.map((start_node) => ({ start_node })),
  vm.map((server) => ({ slow: { server, factor: 20 } })),
  vm.map((server) => ({ fail: { server, status: 500 } })),
  vmPair.map((silence) => ({ silence })),
  pair.map((cut) => ({ cut })),
  pair.map((heal) => ({ heal })),
  vmPair.map((cut_one_way) => ({ cut_one_way })),
  domain.map((domain_out) => ({ domain_out })),
  domain.map((domain_back) => ({ domain_back })),
  fc.constant({ kill_leader: true as const }),
  control.map((start_control) => ({ start_control })),
);
const step: fc.Arbitrary<Step> = fc.tuple(
  fc.integer({ min: 0, max: LENGTH_MS }),
  fc.oneof(
    { weight: 3, arbitrary: payment },
    { weight: 3, arbitrary: unkeyedCall },
    { weight: 2, arbitrary: fault },
  ),
).map(([at, action]) => ({ at, ...action }));

/** Runs a schedule and returns the violations. */
async function findViolations(seed: number, steps: Step[]): Promise<string[]> {
  const scenario = scenarioSchema.parse({
    name: "random",
    promises: ["P4", "P5", "P6", "P9"],
    seed,
    for_ms: LENGTH_MS,
    servers: SERVERS,
    shape: { mean_ms: 60 },
    steps,
    musts: [],
    off: {},
  });
  const { violations, world } = await runScenario(scenario, { off: false });
  const killedNodes = new Set(
    steps.flatMap((one) => one.kill_node ? [one.kill_node] : []),
  );
  const unanswered = world.calls.filter((call) =>
    call.reply === undefined && !killedNodes.has(call.via)
  );
  return [
    ...violations,
    ...unanswered.map((call) => `${call.requestId} was never answered`),
  ];
}

/** Schedules that once failed, with the fault that caused the failure. */
const REGRESSIONS: { fault: string; seed: number; steps: Step[] }[] = [];

for (const { fault, seed, steps } of REGRESSIONS) {
  test(`regression: ${fault}`, async (t) => {
    t.same(await findViolations(seed, steps), []);
  });
}

test(`random schedules of faults, seed ${SEED}, ${RUNS} runs`, async (t) => {
  const schedules = fc.array(step, { minLength: 5, maxLength: 40 });
  await fc.assert(
    fc.asyncProperty(
      fc.integer({ min: 1, max: 1_000_000 }),
      schedules,
      async (seed, steps) => {
        const violations = await findViolations(seed, steps);
        if (violations.length > 0) {
          throw new Error(violations.join("; "));
        }
      },
    ),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
  t.pass("no schedule has violations");
});
