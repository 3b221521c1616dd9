/**
 * Submission of an operator's change, with retries until its result is known,
 * and of withdrawals that name no version which they are based on.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";
import type { Action, Change, ChangeResult } from "./commands.ts";
import { createAmendment } from "./amendments.ts";
import type { Control } from "./control.ts";
import type { ControlState } from "./state.ts";

/** A change as an operator submits it. */
type SubmittedChange = Omit<Change, "kind" | "wallTime">;

/** Withdraws a failure domain, or returns it to service. */
type DomainAction = Extract<Action, { domain: string }>;

/** Result of a withdrawal; `abandoned` if its operator may have given up on it. */
export type WithdrawalResult = ChangeResult | { kind: "abandoned" };

interface SubmitOptions {
  control: Control;
  timer: Timer;
  timeoutMs: number;
}

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
  options: SubmitOptions,
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

/**
 * Submits the withdrawal or the return of a failure domain by an operator who
 * names no version, so that an old copy of it does not undo a later change. It is
 * not proposed if `mayBeAbandoned` returns true: the operator may have sent it
 * again elsewhere, and a contrary one after that. Once it is proposed, it
 * conflicts with any change to the domain since then. Returns `undefined` if no
 * quorum answers in time.
 */
export async function submitWithdrawal(
  change: Omit<SubmittedChange, "action"> & { action: DomainAction },
  options: SubmitOptions & { mayBeAbandoned: () => Promise<boolean> },
): Promise<WithdrawalResult | undefined> {
  const { control, timer, timeoutMs, mayBeAbandoned } = options;
  const deadline = timer.now() + timeoutMs;
  if (await mayBeAbandoned()) {
    return { kind: "abandoned" };
  }
  // The version of the domain has to be the newest that was acknowledged.
  if (!await control.confirmRead()) {
    return undefined;
  }
  // The process may have stood still during the read.
  if (await mayBeAbandoned()) {
    return { kind: "abandoned" };
  }
  const domainVersion = control.state.domainVersion(change.action.domain);
  return await submitChange({ ...change, domainVersion }, {
    control,
    timer,
    timeoutMs: deadline - timer.now(),
  });
}
