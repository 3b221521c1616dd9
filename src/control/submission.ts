/**
 * Submitting an operator's change until its result is known.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";
import type { Change, ChangeResult } from "./commands.ts";
import type { Control } from "./control.ts";

const RETRY_PAUSE_MS = 100;

/**
 * Proposes a change until there is a result or the time is up. Its change id
 * makes a repeated proposal harmless. Without a result it may or may not be
 * accepted later: nothing takes back a proposal that is under way.
 */
export async function submitChange(
  change: Omit<Change, "kind" | "wallTime">,
  options: { control: Control; timer: Timer; timeoutMs: number },
): Promise<ChangeResult | undefined> {
  const { control, timer, timeoutMs } = options;
  const deadline = timer.now() + timeoutMs;
  while (timer.now() < deadline) {
    const reply = await control.change({
      kind: "change",
      wallTime: timer.wallTime(),
      ...change,
    }, deadline - timer.now());
    if (reply.kind === "done") {
      return reply.value;
    }
    await sleep(timer, RETRY_PAUSE_MS);
  }
  return undefined;
}
