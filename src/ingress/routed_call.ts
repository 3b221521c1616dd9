/**
 * A request of a caller with the route that it matches.
 * @module
 */
import type { RouteMatch } from "../node/directory.ts";
import type { RoutePolicy, Service } from "../settings/site.ts";
import type { Call } from "./call.ts";

/** A request with its route and the settings of the route. */
export interface RoutedCall {
  call: Call;
  route: RouteMatch;
  settings: RoutePolicy;
  service: Service;
  workspace: string;
  /** Priority of the workspace, which goes before that of the route. */
  workspaceRank: number;
  /** Whether a key has proved that the request belongs to the workspace. */
  authenticated?: boolean;
  /** Whether a backend server makes it for a request that it runs. */
  forRunning: boolean;
  /** Whether its caller comes back after a refusal, as it was told. */
  returning: boolean;
  startedAt: number;
  deadlineAt: number;
  /** Monotonic time of the latency objective, if the route has one. */
  objectiveAt: number | undefined;
}
