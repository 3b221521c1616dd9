/**
 * What nodes ask an owner, and its answers. Entries of several workspaces travel
 * in one frame, as arrays of numbers, since a frame is sent for most requests of
 * workspaces with a limit.
 * @module
 */
import type { QuotaAnswerFrame, QuotaAskFrame } from "../network/frames.ts";
import type { WorkspaceLimit } from "./bounds.ts";

/** What a node asks about one workspace. */
export interface QuotaAsk {
  workspace: string;
  /** Requests that wait to be admitted. */
  count: number;
  /** How many of them can no longer meet their latency objective. */
  late: number;
  /**
   * Arrivals at backend servers beyond the one of each admitted request; it is
   * negative if admitted requests reached none.
   */
  use: number;
  /** Requests that the node has refused since it last asked. */
  refused: number;
  /** The limit as the node knows it. */
  limit: WorkspaceLimit;
}

/** Answer to a {@link QuotaAsk}. */
export interface QuotaGrant {
  /** How many of the waiting requests are admitted. */
  granted: number;
  /** Time for which the node refuses further requests without asking. */
  closedMs: number;
  /** Time after which a refused request has a chance. */
  retryAfterMs: number;
}

const ASK_FIELDS = 6;
const GRANT_FIELDS = 3;

function isNumberList(value: unknown): value is number[] {
  return Array.isArray(value) && value.every(Number.isFinite);
}

/** Returns the fields of a frame for asks. */
export function packAsks(
  asks: readonly QuotaAsk[],
): Pick<QuotaAskFrame, "workspaces" | "numbers"> {
  return {
    workspaces: asks.map(({ workspace }) => workspace),
    numbers: asks.flatMap(({ count, late, use, refused, limit }) => [
      count,
      late,
      use,
      refused,
      limit.ratePerS,
      limit.burst,
    ]),
  };
}

/** Returns the asks of a frame, or undefined if it is malformed. */
export function unpackAsks(
  { workspaces, numbers }: Pick<QuotaAskFrame, "workspaces" | "numbers">,
): QuotaAsk[] | undefined {
  if (
    !isNumberList(numbers) || numbers.length !== workspaces.length * ASK_FIELDS
  ) {
    return undefined;
  }
  return workspaces.map((workspace, index) => {
    const [count, late, use, refused, ratePerS, burst] = numbers.slice(
      index * ASK_FIELDS,
      (index + 1) * ASK_FIELDS,
    );
    return {
      workspace,
      count: Math.max(0, Math.floor(count)),
      late: Math.max(0, Math.min(Math.floor(count), late)),
      use,
      refused: Math.max(0, refused),
      limit: { ratePerS: Math.max(0, ratePerS), burst: Math.max(0, burst) },
    };
  });
}

/** Answers to several asks; undefined where a node does not decide. */
export type QuotaGrants = readonly (QuotaGrant | undefined)[];

/** Stands for the number of granted requests where a node does not decide. */
const UNDECIDED = -1;

/** Returns the field of a frame for grants. */
export function packGrants(grants: QuotaGrants): number[] {
  return grants.flatMap((grant) => [
    grant?.granted ?? UNDECIDED,
    Math.ceil(grant?.closedMs ?? 0),
    Math.ceil(grant?.retryAfterMs ?? 0),
  ]);
}

/** Returns the grants of an answer to `count` asks, or undefined. */
export function unpackGrants(
  { accepted, numbers }: QuotaAnswerFrame,
  count: number,
): QuotaGrants | undefined {
  if (
    !accepted || !isNumberList(numbers) ||
    numbers.length !== count * GRANT_FIELDS
  ) {
    return undefined;
  }
  return Array.from({ length: count }, (_, index) => {
    const [granted, closedMs, retryAfterMs] = numbers.slice(
      index * GRANT_FIELDS,
      (index + 1) * GRANT_FIELDS,
    );
    return granted === UNDECIDED
      ? undefined
      : { granted, closedMs, retryAfterMs };
  });
}
