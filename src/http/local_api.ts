/**
 * The HTTP API on a node's local address: the backend server of the VM
 * announces itself here, and tools read status, events and metrics.
 * @module
 */
import findMyWay from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { errorFields, errorMessage } from "../core/errors.ts";
import { parseJson } from "../core/json.ts";
import type { Logger } from "../core/logger.ts";
import { isAddress, isConnectable } from "../network/channel.ts";
import type { Node } from "../node/node.ts";
import { readLimitedBody } from "./body.ts";
import type { ClientBudget } from "./client_budget.ts";
import {
  abortResponse,
  closeHttp,
  createHttpServer,
  listenHttp,
  sendJson,
  sendText,
} from "./server.ts";

const MAX_BODY_BYTES = 16 * 1024;

/** Body of a backend server's announcement. */
export const announcementSchema = z.strictObject({
  service: z.string().min(1),
  address: z.string().refine((text) => isAddress(text) && isConnectable(text), {
    message: "an IP address and port, such as 10.0.0.1:7000",
  }),
  boot: z.string().min(1).max(64),
  sequence: z.number().int().min(0),
  health_path: z.string().startsWith("/").default("/health"),
});

const leaveSchema = z.strictObject({ boot: z.string() });

/** The local HTTP API of a node. */
export interface LocalApi {
  /** Starts serving and resolves with the bound address. */
  listen(address: string): Promise<string>;
  /** Stops listening; resolves once the requests in flight have ended. */
  stop(): Promise<void>;
}

/** Returns the status of a node as the local API shows it. */
export function getNodeStatus(node: Node): Record<string, unknown> {
  return {
    ready: node.ready,
    version: node.directory.version,
    in_flight: node.ingress.inFlight,
    guard: node.guard.status(),
    latencies: node.metrics.summaries(),
    counters: node.metrics.counters(),
    events_dropped: node.recorder.dropped,
  };
}

/** Creates the local HTTP API of a node. */
export function createLocalApi(
  options: { node: Node; logger: Logger; clients?: ClientBudget },
): LocalApi {
  const { node, logger, clients } = options;
  const router = findMyWay({
    defaultRoute: (_request, response) =>
      sendJson(response as ServerResponse, 404, { error: "no such path" }),
  });

  async function readJson<T>(
    request: IncomingMessage,
    schema: z.ZodType<T>,
  ): Promise<T | string> {
    const body = await readLimitedBody(request, MAX_BODY_BYTES);
    if (!body) {
      return `the body is larger than ${MAX_BODY_BYTES} bytes`;
    }
    const json = parseJson(body.toString("utf8"));
    if (json.isErr()) {
      return json.error;
    }
    const parsed = schema.safeParse(json.value);
    return parsed.success ? parsed.data : z.prettifyError(parsed.error);
  }

  async function handleAnnounce(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, announcementSchema);
    if (typeof body === "string") {
      sendJson(response, 400, { error: body });
      return;
    }
    const { health_path: healthPath, ...rest } = body;
    const result = await node.announce({ ...rest, healthPath });
    const isAccepted = result === "new" || result === "renewed";
    const rejection = result === "not_ready" ? 503 : 409;
    sendJson(response, isAccepted ? 200 : rejection, { result });
  }

  async function handleLeave(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, leaveSchema);
    if (typeof body === "string") {
      sendJson(response, 400, { error: body });
      return;
    }
    let recorded = false;
    const left = await node.leave(body.boot, () => {
      recorded = true;
    });
    // Without its record, the leave would end with this process.
    const success = recorded ? 200 : 503;
    sendJson(response, left ? success : 409, { left, recorded });
  }

  /** Registers a handler; a call that fails, as one that is cut, ends alone. */
  function onPost(
    path: string,
    handle: (
      request: IncomingMessage,
      response: ServerResponse,
    ) => Promise<void>,
  ): void {
    router.on("POST", path, (request, response) => {
      handle(request as IncomingMessage, response as ServerResponse)
        .catch((error) => {
          logger.warn("local_api.request_failed", errorFields(error));
          abortResponse(response);
        });
    });
  }

  onPost("/announce", handleAnnounce);
  onPost("/leave", handleLeave);
  router.on("GET", "/status", (_request, response) => {
    sendJson(response as ServerResponse, 200, getNodeStatus(node));
  });
  router.on("GET", "/events", (_request, response) => {
    sendJson(response as ServerResponse, 200, node.recorder.events());
  });
  router.on("GET", "/metrics", (_request, response) => {
    sendText(response as ServerResponse, 200, node.metrics.text());
  });
  const server = createHttpServer((request, response) => {
    try {
      router.lookup(request, response);
    } catch (error) {
      logger.warn("local_api.request_failed", errorFields(error));
      sendJson(response, 500, { error: errorMessage(error) });
    }
  }, { clients });

  return {
    listen: (address) => listenHttp(server, address),
    stop: () => closeHttp(server),
  };
}
