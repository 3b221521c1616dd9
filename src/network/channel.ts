/**
 * Interfaces of the connections that carry frames between processes.
 * @module
 */
import { isIP } from "node:net";
import type { Frame } from "./frames.ts";

/** A two-way connection that carries frames in order. */
export interface Channel {
  /** Address of the other end, `ip:port`. */
  readonly peer: string;
  /** Whether the channel is closed, as far as this end has been notified. */
  readonly closed: boolean;
  /**
   * Whether a close may be pending behind the frame that was read last. A guard
   * then lets closes be read before it runs the attempt of the frame.
   */
  readonly closeMayBePending?: boolean;
  /**
   * Longest time in milliseconds for which the frame that was read last may
   * have been pending during a stall of this process.
   */
  readonly maxUnreadMs?: number;
  /**
   * Sends a frame. If the other end reads too slowly, resolves only once it has
   * read on. Rejects with `StepError` once the channel is closed.
   */
  send(frame: Frame): Promise<void>;
  /** Returns the next frame, or `undefined` once the channel is closed. */
  receive(): Promise<Frame | undefined>;
  /** Calls `listener` once on close; returns a function that removes it. */
  onClose(listener: () => void): () => void;
  /** Closes both directions immediately. */
  close(): void;
}

/** An address that accepts channels. */
export interface Listener {
  /** The bound address, `ip:port`. */
  readonly address: string;
  /** Stops accepting channels; open ones remain open. */
  close(): Promise<void>;
}

/** Connects to addresses and listens on them. */
export interface Network {
  /** Connects to `ip:port`; rejects with `StepError`. */
  connect(address: string, timeoutMs: number): Promise<Channel>;
  /** Accepts channels on `ip:port`; port 0 selects a free port. */
  listen(
    address: string,
    accept: (channel: Channel) => void,
  ): Promise<Listener>;
}

const MAX_PORT = 65_535;
const HOST_AND_PORT = /^(\[[\da-f:.]+\]|[\w.-]{1,255}):\d{1,5}$/i;

/** Whether a text is `ip:port`, with a port that a socket can have. */
export function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return isIP(host) !== 0 && Number.isInteger(port) && port >= 0 &&
    port <= MAX_PORT;
}

/**
 * Whether a text is an address that can be connected to: a host name or an IP
 * address, and a port that is set.
 */
export function isConnectable(text: string): boolean {
  const { port } = splitAddress(text);
  return HOST_AND_PORT.test(text) && port > 0 && port <= MAX_PORT;
}

/** Splits `ip:port`; IPv6 addresses are in brackets. */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}
