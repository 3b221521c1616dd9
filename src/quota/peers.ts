/**
 * Exchanges with the nodes that decide about workspaces, over the channels that
 * attempts use too. A node that did not answer is not asked for a while, so that
 * few requests wait for a node that is lost.
 * @module
 */
import { StepError } from "../core/errors.ts";
import type { PeerPool } from "../ingress/peer_pool.ts";
import type { Frame } from "../network/frames.ts";
import { type Timer, withTimeout } from "../time/timer.ts";

/** Exchanges frames with peers. */
export interface Peers {
  /** Sends a frame; resolves with undefined if no answer came in time. */
  exchange(
    address: string,
    request: { frame: Frame; timeoutMs: number },
  ): Promise<Frame | undefined>;
  /** Whether a peer did not answer a moment ago. */
  isSilent(address: string): boolean;
}

/** Time for which a peer that did not answer once is not asked. */
const MIN_SILENT_MS = 200;
/** The same for one that has not answered several times in a row. */
const MAX_SILENT_MS = 1_000;
const MAX_SILENT_PEERS = 1_000;

/** Adds to an exchange the knowledge of which peers are silent. */
export function createPeers(options: {
  timer: Timer;
  exchange: Peers["exchange"];
  onSilent?: (address: string) => void;
}): Peers {
  const { timer, exchange, onSilent } = options;
  const silences = new Map<string, { until: number; forMs: number }>();

  function isSilent(address: string): boolean {
    return (silences.get(address)?.until ?? -Infinity) > timer.now();
  }

  return {
    async exchange(address, request) {
      const answer = await exchange(address, request);
      if (answer) {
        silences.delete(address);
      } else if (!isSilent(address)) {
        onSilent?.(address);
        if (silences.size >= MAX_SILENT_PEERS) {
          silences.clear();
        }
        const forMs = Math.min(
          MAX_SILENT_MS,
          2 * (silences.get(address)?.forMs ?? MIN_SILENT_MS / 2),
        );
        silences.set(address, { until: timer.now() + forMs, forMs });
      }
      return answer;
    },
    isSilent,
  };
}

/** Kinds of frames that answer those of a quota. */
const ANSWER_KINDS: ReadonlySet<Frame["kind"]> = new Set([
  "quota_answer",
  "quota_leased",
]);

/** Creates an exchange over the channels of a pool. */
export function createPoolExchange(
  pool: PeerPool,
  timer: Timer,
): Peers["exchange"] {
  return async (address, { frame, timeoutMs }) => {
    let late = false;
    async function run(): Promise<Frame | undefined> {
      const channel = await pool.take(address);
      if (late) {
        pool.release(channel);
        return undefined;
      }
      try {
        await channel.send(frame);
        const answer = await withTimeout(timer, channel.receive(), {
          step: "quota.exchange",
          peer: address,
          timeoutMs,
        });
        if (!answer || !ANSWER_KINDS.has(answer.kind)) {
          throw new StepError("quota.exchange", "no answer to the frame", {
            peer: address,
          });
        }
        pool.release(channel);
        return answer;
      } catch (error) {
        channel.close();
        throw error;
      }
    }
    try {
      return await withTimeout(timer, run(), {
        step: "quota.exchange",
        peer: address,
        timeoutMs,
      });
    } catch {
      late = true;
      return undefined;
    }
  };
}
