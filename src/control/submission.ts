/**
 * Submission of an operator's change, with retries until its result is known.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";
import type { Change, ChangeResult } from "./commands.ts";
import { createAmendment } from "./amendments.ts";
import type { Control } from "./control.ts";
import type { ControlState } from "./state.ts";

/** A change as an operator submits it. */
type SubmittedChange = Omit<Change, "kind" | "wallTime">;

const RETRY_PAUSE_MS = 100;

/** Whether a change was made for the configuration that this replica has. */
function isBasedOn(
  { against, numbering }: SubmittedChange,
  { version, number }: ControlState,
): boolean {
  return against === version || numbering?.after === number;
}

/**
 * Replaces a whole configuration by the parts that differ, if this replica has
 * the configuration that the change was made for.
 */
function shortenChange(
  change: SubmittedChange,
  state: ControlState,
): SubmittedChange {
  const { action } = change;
  const { amendable } = state;
  return action.kind === "configure" && amendable && isBasedOn(change, state)
    ? { ...change, action: createAmendment(action, amendable) }
    : change;
}

/**
 * Proposes a change until it has a result or the timeout passes. The change id
 * makes retries idempotent. Returns `undefined` if there is no result in time;
 * the change may still be accepted later, since a proposal in flight cannot be
 * cancelled.
 */
export async function submitChange(
  change: SubmittedChange,
  options: { control: Control; timer: Timer; timeoutMs: number },
): Promise<ChangeResult | undefined> {
  const { control, timer, timeoutMs } = options;
  const deadline = timer.now() + timeoutMs;
  const shortened = shortenChange(change, control.state);
  while (timer.now() < deadline) {
    const reply = await control.change({
      kind: "change",
      wallTime: timer.wallTime(),
      ...shortened,
    }, deadline - timer.now());
    if (reply.kind === "done") {
      return reply.value;
    }
    await sleep(timer, RETRY_PAUSE_MS);
  }
  return undefined;
}
