/**
 * The administration API on control: changes, withdrawals, status, history
 * and accounts. Every call carries an operator's token.
 * @module
 */
import { createHash, timingSafeEqual } from "node:crypto";
import findMyWay from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import { readFileSync } from "node:fs";
import { z } from "zod";
import { querySchema } from "../account/events.ts";
import { actionSchema, type ChangeResult } from "../control/commands.ts";
import type { Control } from "../control/control.ts";
import { submitChange } from "../control/submission.ts";
import { errorMessage, StepError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../time/timer.ts";
import { readLimited } from "./body.ts";
import { closeHttp, createHttpServer, listenHttp, sendJson } from "./server.ts";

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CHANGE_TIMEOUT_MS = 8_000;
const MAX_HISTORY_ROWS = 500;

/** An operator and what the operator may change. */
export interface Operator {
  name: string;
  /** Teams whose services may be changed; `undefined` for everything. */
  teams: string[] | undefined;
}

/** Operators by the SHA-256 digest of their token. */
export type OperatorTable = Map<string, Operator>;

/** Body of a request to make a change. */
export const changeRequestSchema = z.strictObject({
  change_id: z.string().min(1).max(128),
  against: z.number().int().min(0),
  force: z.boolean().default(false),
  action: actionSchema,
});

function digestOf(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

/**
 * Reads `operator token [team ...]` lines. Without teams an operator may
 * change everything.
 */
export function parseOperators(text: string): OperatorTable {
  const operators: OperatorTable = new Map();
  for (const line of text.split("\n")) {
    const [name, token, ...teams] = line.trim().split(/\s+/);
    if (!name || name.startsWith("#")) {
      continue;
    }
    if (!token) {
      throw new StepError("admin.tokens", `operator ${name} has no token`);
    }
    operators.set(digestOf(token), {
      name,
      teams: teams.length > 0 ? teams : undefined,
    });
  }
  return operators;
}

/** Reads a token file. */
export function readOperators(file: string): OperatorTable {
  return parseOperators(readFileSync(file, "utf8"));
}

/** The administration API of a control replica. */
export interface AdminApi {
  /** Starts to answer; returns the bound address. */
  listen(address: string): Promise<string>;
  /** Stops answering. */
  stop(): Promise<void>;
}

/** Options of {@link createAdminApi}. */
export interface AdminApiOptions {
  control: Control;
  operators: OperatorTable;
  timer: Timer;
  logger: Logger;
}

const STATUS_OF_RESULT: Record<ChangeResult["kind"], number> = {
  accepted: 200,
  conflict: 409,
  refused: 422,
};

/** Creates the administration API. */
export function createAdminApi(options: AdminApiOptions): AdminApi {
  const { control, operators, timer, logger } = options;

  function operatorOf(request: IncomingMessage): Operator | undefined {
    const header = request.headers.authorization ?? "";
    const token = /^Bearer (\S+)$/.exec(header)?.[1];
    if (!token) {
      return undefined;
    }
    const digest = Buffer.from(digestOf(token));
    for (const [known, operator] of operators) {
      if (timingSafeEqual(Buffer.from(known), digest)) {
        return operator;
      }
    }
    return undefined;
  }

  async function change(
    request: IncomingMessage,
    response: ServerResponse,
    operator: Operator,
  ): Promise<void> {
    const bytes = await readLimited(request, MAX_BODY_BYTES);
    if (!bytes) {
      const error = `the body is larger than ${MAX_BODY_BYTES} bytes`;
      sendJson(response, 413, { error });
      return;
    }
    let value: unknown;
    try {
      value = JSON.parse(bytes.toString("utf8"));
    } catch (error) {
      sendJson(response, 400, { error: errorMessage(error) });
      return;
    }
    const parsed = changeRequestSchema.safeParse(value);
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    const { change_id: changeId, ...asked } = parsed.data;
    const result = await submitChange({
      changeId,
      operator: operator.name,
      teams: operator.teams,
      ...asked,
    }, { control, timer, timeoutMs: CHANGE_TIMEOUT_MS });
    if (!result) {
      sendJson(response, 503, {
        error: "no quorum answered; the change may still be accepted: " +
          "send it again with the same change_id",
      });
      return;
    }
    logger.info("admin.change", {
      operator: operator.name,
      change_id: changeId,
      action: asked.action.kind,
      result: result.kind,
      version: result.version,
    });
    sendJson(response, STATUS_OF_RESULT[result.kind], result);
  }

  async function explain(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://admin");
    const fields = Object.fromEntries(url.searchParams);
    const numeric = (name: string): number | undefined =>
      fields[name] === undefined ? undefined : Number(fields[name]);
    const parsed = querySchema.safeParse({
      requestId: fields.request,
      key: fields.key,
      server: fields.server,
      domain: fields.domain,
      since: numeric("since"),
      until: numeric("until"),
    });
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    sendJson(response, 200, await control.find(parsed.data));
  }

  type Route = (
    request: IncomingMessage,
    response: ServerResponse,
    operator: Operator,
  ) => Promise<void> | void;
  const router = findMyWay();
  const routes: [method: "GET" | "POST", path: string, route: Route][] = [
    ["POST", "/v1/changes", change],
    [
      "GET",
      "/v1/status",
      (_request, response) => sendJson(response, 200, control.status()),
    ],
    ["GET", "/v1/site", (_request, response) =>
      sendJson(response, 200, {
        version: control.state.version,
        site: control.state.site ?? null,
      })],
    ["GET", "/v1/history", (_request, response) =>
      sendJson(response, 200, {
        version: control.state.version,
        changes: control.state.history().slice(-MAX_HISTORY_ROWS),
      })],
    ["GET", "/v1/explain", explain],
  ];
  for (const [method, path, route] of routes) {
    router.on(method, path, () => {}, route);
  }

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const operator = operatorOf(request);
    if (!operator) {
      response.setHeader("connection", "close");
      sendJson(response, 401, { error: "a valid bearer token is needed" });
      return;
    }
    const path = (request.url ?? "/").split("?")[0];
    const found = router.find(request.method as "GET", path);
    if (!found) {
      sendJson(response, 404, { error: "no such path" });
      return;
    }
    await (found.store as Route)(request, response, operator);
  }

  const server = createHttpServer((request, response) => {
    answer(request, response).catch((error) => {
      logger.warn("admin.failed", { error: errorMessage(error) });
      response.destroy();
    });
  });

  return {
    listen: (address) => listenHttp(server, address),
    stop: () => closeHttp(server),
  };
}
