/**
 * What a node admits of a workspace while it reaches neither the owner nor a
 * deputy: an equal share of a part of the tolerance. It is less than one request
 * for most workspaces, so chance decides which nodes admit one.
 * @module
 */
import {
  divideBounds,
  type QuotaTolerance,
  type WorkspaceLimit,
} from "./bounds.ts";

/** Admits requests without an owner. */
export interface CutOffAllowance {
  /** Returns whether a request is admitted. */
  take(workspace: string, limit: WorkspaceLimit): boolean;
}

/** Options of {@link createCutOffAllowance}. */
export interface CutOffAllowanceOptions {
  now: () => number;
  randomFraction: () => number;
  tolerance: () => QuotaTolerance;
  /** Number of nodes at the site. */
  nodes: () => number;
}

interface Allowance {
  tokens: number;
  /** Most tokens that it holds: those with which it started. */
  capacity: number;
  updatedAt: number;
}

/** Time without use after which an allowance starts again. */
const FORGET_MS = 60_000;
const MAX_WORKSPACES = 1_000;

/** Creates an allowance of which nothing has been used. */
export function createCutOffAllowance(
  options: CutOffAllowanceOptions,
): CutOffAllowance {
  const { now, randomFraction, tolerance, nodes } = options;
  /** By workspace, the ones used last at the end. */
  const allowances = new Map<string, Allowance>();

  return {
    take(workspace, limit) {
      const { cutOff } = divideBounds(limit, tolerance());
      const count = Math.max(1, nodes());
      const time = now();
      let allowance = allowances.get(workspace);
      if (!allowance || time - allowance.updatedAt > FORGET_MS) {
        const capacity = cutOff.capacity / count + randomFraction();
        allowance = { tokens: capacity, capacity, updatedAt: time };
      }
      allowances.delete(workspace);
      allowances.set(workspace, allowance);
      if (allowances.size > MAX_WORKSPACES) {
        allowances.delete(allowances.keys().next().value!);
      }
      const elapsedMs = time - allowance.updatedAt;
      allowance.updatedAt = time;
      allowance.tokens = Math.min(
        allowance.capacity,
        allowance.tokens + elapsedMs * cutOff.perMs / count,
      );
      if (allowance.tokens < 1) {
        return false;
      }
      allowance.tokens--;
      return true;
    },
  };
}
