/**
 * Components of an ingress that its modules share, and the options from which it
 * is created.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Member } from "../control/commands.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Attempt } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import type { EventLoopLag } from "../time/event_loop_lag.ts";
import type { Timer } from "../time/timer.ts";
import type { KeySource } from "../workspaces/authentication.ts";
import type { AnswerSizes } from "./answer_sizes.ts";
import type { ClaimService } from "./claim_service.ts";
import type { Exchanger } from "./exchange.ts";
import type { Hints } from "./hints.ts";
import type { Placement } from "./placement.ts";
import type { QuotaGateOptions } from "./quota_gate.ts";
import type { RoutedCall } from "./routed_call.ts";

/** Options of an ingress. */
export interface IngressOptions {
  vm: string;
  domain: string;
  /** Peer address of this node; empty if it accepts no channels. */
  peerAddress: string;
  /** Returns the service on the VM of the ingress; empty if there is none. */
  caller: () => string;
  /** Incarnation of this ingress, which changes with each restart. */
  incarnation: string;
  directory: Directory;
  /** Tells how current the keys in the directory are. */
  sync: KeySource;
  exchanger: Exchanger;
  claims: ClaimService;
  /** Subscribes to a service, and resolves once its view has been fetched. */
  subscribe: (service: string) => Promise<void>;
  /** Called when a guard reports a newer configuration version. */
  onNewerVersion: (version: number, peer: string) => void;
  timer: Timer;
  lag: EventLoopLag;
  random: Random;
  metrics: Metrics;
  recorder: Recorder;
  logger: Logger;
  /** Name of the policy that chooses backend servers. */
  policy?: string;
  /** Returns whether the server on this VM can start a request immediately. */
  canStartLocally?: (service: string) => boolean;
  /** Limits the requests of workspaces over all nodes. */
  quota?: QuotaGateOptions;
}

/** Components of an ingress that its modules share. */
export interface IngressParts extends IngressOptions, Placement {
  hints: Hints;
  sizes: AnswerSizes;
  attemptFrame(routed: RoutedCall, options: FrameOptions): Attempt;
}

/** Properties in which the attempts of a request differ. */
export interface FrameOptions {
  member: Member;
  attempt: Attempt["attempt"];
  suspect: boolean;
  /** Whether the guard may turn the request away to another server. */
  elsewhere: boolean;
}
