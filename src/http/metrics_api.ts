/**
 * HTTP API for the metrics of a process that has no other local API.
 * @module
 */
import type { Metrics } from "../metrics/metrics.ts";
import type { ClientBudget } from "./client_budget.ts";
import { closeHttp, createHttpServer, listenHttp, sendText } from "./server.ts";

/** Path of the metrics in the Prometheus text format. */
export const METRICS_PATH = "/metrics";

/** An HTTP API that serves only metrics. */
export interface MetricsApi {
  /** Starts serving and resolves with the bound address. */
  listen(address: string): Promise<string>;
  /** Stops listening; resolves once the requests in flight have ended. */
  stop(): Promise<void>;
}

/** Creates an HTTP API that serves only metrics. */
export function createMetricsApi(
  metrics: Metrics,
  clients: ClientBudget,
): MetricsApi {
  const server = createHttpServer((request, response) => {
    if (request.url === METRICS_PATH) {
      sendText(response, 200, metrics.text());
    } else {
      sendText(response, 404, "no such path\n");
    }
  }, { clients });
  return {
    listen: (address) => listenHttp(server, address),
    stop: () => closeHttp(server),
  };
}
