/**
 * Serves the metrics of a process that has no other local API.
 * @module
 */
import type { Metrics } from "../metrics/metrics.ts";
import { closeHttp, createHttpServer, listenHttp, sendText } from "./server.ts";

/** Path of the metrics, in the text format that collectors read. */
export const METRICS_PATH = "/metrics";

/** Serves metrics. */
export interface MetricsApi {
  /** Starts to answer; returns the bound address. */
  listen(address: string): Promise<string>;
  /** Stops answering. */
  stop(): Promise<void>;
}

/** Creates an HTTP API that shows metrics and nothing else. */
export function createMetricsApi(metrics: Metrics): MetricsApi {
  const server = createHttpServer((request, response) => {
    if (request.url === METRICS_PATH) {
      sendText(response, 200, metrics.text());
    } else {
      sendText(response, 404, "no such path\n");
    }
  });
  return {
    listen: (address) => listenHttp(server, address),
    stop: () => closeHttp(server),
  };
}
