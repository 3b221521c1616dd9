/**
 * The connection interface: channels that carry frames between processes.
 * @module
 */
import type { Frame } from "./frames.ts";

/** A two-way connection that carries frames in order. */
export interface Channel {
  /** Address of the other end, `ip:port`. */
  readonly peer: string;
  /** Whether this end knows that the channel is closed. */
  readonly closed: boolean;
  /** Whether a closing may lie behind the frame that was read last. */
  readonly late?: boolean;
  /**
   * Longest time in milliseconds for which the frame that was read last lay
   * unread while this process was held up.
   */
  readonly unreadMs?: number;
  /**
   * Sends a frame, and waits while the other end reads too slowly.
   * Rejects with `StepError` once the channel is closed.
   */
  send(frame: Frame): Promise<void>;
  /** Returns the next frame, or `undefined` once the channel is closed. */
  receive(): Promise<Frame | undefined>;
  /** Calls `listener` once on closing; returns what takes it back. */
  onClose(listener: () => void): () => void;
  /** Closes both directions at once. */
  close(): void;
}

/** An address that accepts channels. */
export interface Listener {
  /** The bound address, `ip:port`. */
  readonly address: string;
  /** Stops accepting; open channels stay. */
  close(): Promise<void>;
}

/** Creates channels. */
export interface Network {
  /** Connects to `ip:port`; rejects with `StepError`. */
  connect(address: string, timeoutMs: number): Promise<Channel>;
  /** Accepts channels at `ip:port`; port 0 picks a free one. */
  listen(
    address: string,
    accept: (channel: Channel) => void,
  ): Promise<Listener>;
}

/** Splits `ip:port`, with IPv6 addresses in brackets. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
