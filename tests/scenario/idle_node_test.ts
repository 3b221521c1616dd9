/**
 * Idle nodes used a fifteenth of a processor core, most of it for timers that
 * had nothing to do (issue 21).
 */
import { test } from "tap";
import { createEventLoopLag } from "../../src/time/event_loop_lag.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";
import { startSmallWorld } from "./small_world.ts";

const DURATION_S = 10;
/** Share of a core that an idle node may use. */
const IDLE_CORE_SHARE = 0.012;
/** Processor time of a wake-up in a process that has just started. */
const PROCESSOR_MS_PER_WAKE_UP = 0.14;
/** Half of the wake-ups remain for messages from other processes. */
const MAX_WAKE_UPS_PER_S = IDLE_CORE_SHARE * 1_000 / PROCESSOR_MS_PER_WAKE_UP /
  2;

test("an idle node is woken by few timers", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 3 });
  await world.timer.advance(5_000);
  const before = world.vms.map(({ wakeUps }) => wakeUps());
  await world.timer.advance(DURATION_S * 1_000);
  const timerWakeUpsPerS = world.vms.map(({ wakeUps }, index) =>
    (wakeUps() - before[index]) / DURATION_S
  );

  const clock = createFakeTimer();
  let lagChecks = 0;
  const lag = createEventLoopLag({
    now: clock.now,
    afterPoll: (task) => queueMicrotask(task),
    after: (delayMs, task) => clock.after(delayMs, task).cancel,
  });
  lag.onTick(() => lagChecks++);
  await clock.advance(DURATION_S * 1_000);
  lag.stop();

  const wakeUpsPerS = Math.max(...timerWakeUpsPerS) + lagChecks / DURATION_S;
  t.ok(
    wakeUpsPerS <= MAX_WAKE_UPS_PER_S,
    `${wakeUpsPerS} wake-ups a second, at most ${
      MAX_WAKE_UPS_PER_S.toFixed(0)
    }`,
  );
});
