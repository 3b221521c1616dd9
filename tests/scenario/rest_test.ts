/**
 * Nodes that rest used a fifteenth of their core, most of it for timers that
 * found nothing to do (issue 21).
 */
import { test } from "tap";
import { createEventLoopLag } from "../../src/time/event_loop_lag.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";
import { startSmallWorld } from "./small_world.ts";

const SECONDS = 10;
/** Core that a node may use while it rests. */
const RESTING_CORE = 0.012;
/** Processor time of a wake-up in a process that has only just begun, in ms. */
const WAKE_UP_MS = 0.14;
/** Half of them are left for what comes from others. */
const MOST_PER_S = RESTING_CORE * 1_000 / WAKE_UP_MS / 2;

test("a node that rests is woken by few timers", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 3 });
  await world.timer.advance(5_000);
  const before = world.vms.map(({ wakeUps }) => wakeUps());
  await world.timer.advance(SECONDS * 1_000);
  const timers = world.vms.map(({ wakeUps }, index) =>
    (wakeUps() - before[index]) / SECONDS
  );

  const clock = createFakeTimer();
  let beats = 0;
  const lag = createEventLoopLag({
    now: clock.now,
    afterPoll: (task) => queueMicrotask(task),
    after: (delayMs, task) => clock.after(delayMs, task).cancel,
  });
  lag.onBeat(() => beats++);
  await clock.advance(SECONDS * 1_000);
  lag.stop();

  const perSecond = Math.max(...timers) + beats / SECONDS;
  t.ok(
    perSecond <= MOST_PER_S,
    `${perSecond} wake-ups a second, at most ${MOST_PER_S.toFixed(0)}`,
  );
});
