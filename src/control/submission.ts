/**
 * Submission of an operator's change, with retries until its result is known.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";
import type { Change, ChangeResult } from "./commands.ts";
import type { Control } from "./control.ts";

const RETRY_PAUSE_MS = 100;

/**
 * Proposes a change until it has a result or the timeout passes. The change id
 * makes retries idempotent. Returns `undefined` if there is no result in time;
 * the change may still be accepted later, since a proposal in flight cannot be
 * cancelled.
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
