/**
 * The administration API of a control replica: configuration changes,
 * withdrawals, status, change history and searches of the stored events. Every
 * request must carry an operator's bearer token.
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
import { hideKeys } from "../control/workspace_table.ts";
import { errorMessage, StepError } from "../core/errors.ts";
import { parseJson } from "../core/json.ts";
import type { Logger } from "../core/logger.ts";
import { findWorkspaceViolations } from "../settings/workspace_rules.ts";
import type { Timer } from "../time/timer.ts";
import { readLimitedBody } from "./body.ts";
import type { ClientBudget } from "./client_budget.ts";
import {
  abortResponse,
  closeHttp,
  createHttpServer,
  listenHttp,
  sendJson,
} from "./server.ts";

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const CHANGE_TIMEOUT_MS = 8_000;
const MAX_HISTORY_ROWS = 500;

/** An operator and the scope that the operator may change. */
export interface Operator {
  name: string;
  /** Teams whose services the operator may change; `undefined` allows all. */
  teams: string[] | undefined;
}

/** Operators by the hexadecimal SHA-256 digest of their token. */
export type OperatorTable = Map<string, Operator>;

/** Body of a request that submits a change. */
export const changeRequestSchema = z.strictObject({
  change_id: z.string().min(1).max(128),
  against: z.number().int().min(0),
  force: z.boolean().default(false),
  action: actionSchema,
});

function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

/**
 * Parses lines of the form `operator token [team ...]`. An operator without
 * teams may change everything.
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
    operators.set(hashToken(token), {
      name,
      teams: teams.length > 0 ? teams : undefined,
    });
  }
  return operators;
}

/** Reads and parses a token file. */
export function readOperators(file: string): OperatorTable {
  return parseOperators(readFileSync(file, "utf8"));
}

/** The administration API of a control replica. */
export interface AdminApi {
  /** Starts serving and resolves with the bound address. */
  listen(address: string): Promise<string>;
  /** Stops listening; resolves once the requests in flight have ended. */
  stop(): Promise<void>;
}

/** Options of {@link createAdminApi}. */
export interface AdminApiOptions {
  control: Control;
  operators: OperatorTable;
  timer: Timer;
  logger: Logger;
  clients?: ClientBudget;
}

const STATUS_BY_RESULT: Record<ChangeResult["kind"], number> = {
  accepted: 200,
  conflict: 409,
  refused: 422,
};

/** Creates the administration API. */
export function createAdminApi(options: AdminApiOptions): AdminApi {
  const { control, operators, timer, logger, clients } = options;

  function authenticate(request: IncomingMessage): Operator | undefined {
    const header = request.headers.authorization ?? "";
    const token = /^Bearer (\S+)$/.exec(header)?.[1];
    if (!token) {
      return undefined;
    }
    const digest = Buffer.from(hashToken(token));
    for (const [tokenDigest, operator] of operators) {
      if (timingSafeEqual(Buffer.from(tokenDigest), digest)) {
        return operator;
      }
    }
    return undefined;
  }

  async function handleChange(
    request: IncomingMessage,
    response: ServerResponse,
    operator: Operator,
  ): Promise<void> {
    const bytes = await readLimitedBody(request, MAX_BODY_BYTES);
    if (!bytes) {
      const error = `the body is larger than ${MAX_BODY_BYTES} bytes`;
      sendJson(response, 413, { error });
      return;
    }
    const json = parseJson(bytes.toString("utf8"));
    if (json.isErr()) {
      sendJson(response, 400, { error: json.error });
      return;
    }
    const parsed = changeRequestSchema.safeParse(json.value);
    if (!parsed.success) {
      sendJson(response, 400, { error: z.prettifyError(parsed.error) });
      return;
    }
    const { change_id: changeId, ...submission } = parsed.data;
    const { action } = submission;
    const [violation] = action.kind === "configure"
      ? findWorkspaceViolations(action.site)
      : [];
    if (violation) {
      const { key, found, expected } = violation;
      const error = `${key}: found ${found}, expected ${expected}`;
      sendJson(response, 400, { error });
      return;
    }
    const result = await submitChange({
      changeId,
      operator: operator.name,
      teams: operator.teams,
      ...submission,
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
      action: submission.action.kind,
      result: result.kind,
      version: result.version,
    });
    sendJson(response, STATUS_BY_RESULT[result.kind], result);
  }

  async function handleExplain(
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
    ["POST", "/v1/changes", handleChange],
    [
      "GET",
      "/v1/status",
      (_request, response) => sendJson(response, 200, control.status()),
    ],
    ["GET", "/v1/site", (_request, response, { teams }) => {
      const { version, site } = control.state;
      // An operator of some teams has not sent the keys of workspaces.
      const shown = site && teams ? hideKeys(site) : site;
      sendJson(response, 200, { version, site: shown ?? null });
    }],
    ["GET", "/v1/history", (_request, response) =>
      sendJson(response, 200, {
        version: control.state.version,
        changes: control.state.history().slice(-MAX_HISTORY_ROWS),
      })],
    ["GET", "/v1/explain", handleExplain],
  ];
  for (const [method, path, route] of routes) {
    router.on(method, path, () => {}, route);
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const operator = authenticate(request);
    if (!operator) {
      response.setHeader("connection", "close");
      sendJson(response, 401, { error: "a valid bearer token is needed" });
      return;
    }
    const path = (request.url ?? "/").split("?")[0];
    const match = router.find(request.method as "GET", path);
    if (!match) {
      sendJson(response, 404, { error: "no such path" });
      return;
    }
    await (match.store as Route)(request, response, operator);
  }

  const server = createHttpServer((request, response) => {
    handle(request, response).catch((error) => {
      logger.warn("admin.request_failed", { error: errorMessage(error) });
      abortResponse(response);
    });
  }, { clients });

  return {
    listen: (address) => listenHttp(server, address),
    stop: () => closeHttp(server),
  };
}
