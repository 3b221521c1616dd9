/**
 * Client of the administration API for the command line.
 * @module
 */
import { request } from "undici";
import { readFileSync } from "node:fs";
import { randomUUID } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import type { Action, ChangeResult } from "../control/commands.ts";
import { errorMessage, StepError } from "../core/errors.ts";

/** Addresses of the administration API and the token for it. */
export interface AdminTarget {
  /** Addresses, which are tried in this order. */
  addresses: string[];
  token: string;
  /** Time limit of one call, with its whole answer; 30 s by default. */
  timeoutMs?: number;
}

/** Response of the administration API. */
export interface AdminResponse {
  status: number;
  body: unknown;
}

/** Change that the command line requests. */
export interface ChangeRequest {
  action: Action;
  /** Version that the change is based on; the current one by default. */
  against: number | undefined;
  changeId: string | undefined;
  force: boolean;
}

/** Outcome of a change. */
export type ChangeOutcome =
  | { kind: "result"; result: ChangeResult; changeId: string }
  | { kind: "error"; status: number; message: string; changeId: string };

/** Time limit for the head of an answer. */
const HEAD_TIMEOUT_MS = 10_000;
/** Time limit of a call. Interim answers restart the one for the head. */
const CALL_TIMEOUT_MS = 30_000;

/** Reads the token from a file, or from MUSTARDCROSS_TOKEN without one. */
export function readToken(file: string | undefined): string {
  return file
    ? readFileSync(file, "utf8").trim()
    : process.env.MUSTARDCROSS_TOKEN ?? "";
}

/** Calls the API at each address in turn until one answers. */
export async function callAdmin(
  target: AdminTarget,
  path: string,
  body?: unknown,
): Promise<Result<AdminResponse, StepError>> {
  let lastError = new StepError("admin.call", "no address was given");
  for (const address of target.addresses) {
    try {
      const answer = await request(`http://${address}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${target.token}` },
        body: body === undefined ? undefined : JSON.stringify(body),
        headersTimeout: HEAD_TIMEOUT_MS,
        signal: AbortSignal.timeout(target.timeoutMs ?? CALL_TIMEOUT_MS),
      });
      return ok({ status: answer.statusCode, body: await answer.body.json() });
    } catch (error) {
      lastError = new StepError("admin.call", errorMessage(error), {
        peer: address,
        cause: error,
      });
    }
  }
  return err(lastError);
}

/** Submits a change. */
export async function sendChange(
  target: AdminTarget,
  change: ChangeRequest,
): Promise<Result<ChangeOutcome, StepError>> {
  const changeId = change.changeId ?? randomUUID();
  let { against } = change;
  if (against === undefined) {
    const site = await callAdmin(target, "/v1/site");
    if (site.isErr()) {
      return err(site.error);
    }
    against = (site.value.body as { version?: number }).version ?? 0;
  }
  const answer = await callAdmin(target, "/v1/changes", {
    change_id: changeId,
    against,
    force: change.force,
    action: change.action,
  });
  return answer.map(({ status, body }): ChangeOutcome => {
    const result = body as ChangeResult & { error?: string };
    return result.error === undefined
      ? { kind: "result", result, changeId }
      : { kind: "error", status, message: result.error, changeId };
  });
}
