/**
 * Channels in memory with delays, cuts and silence under a test's control.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { StepError, TimeoutError } from "../core/errors.ts";
import type { Timer } from "../time/timer.ts";
import type { Channel, Listener, Network } from "./channel.ts";
import type { Frame } from "./frames.ts";
import { createInbox } from "./inbox.ts";

/** A link between two hosts, in one direction. */
export interface Link {
  /** One-way delay in milliseconds. */
  delayMs: number;
  /** New connections fail and open ones lose everything. */
  cut: boolean;
}

interface End {
  channel: Channel;
  deliver(frame: Frame): void;
  hangUp(): void;
}

/** A network under a test's control. Hosts are the parts before the port. */
export interface FakeNetwork {
  /** Returns the network as the given host sees it. */
  from(host: string): Network;
  /** Returns the link between two hosts, to be changed in place. */
  link(from: string, to: string): Link;
  /** Makes every open connection between two hosts silent for good. */
  silence(one: string, other: string): void;
  /** Closes every connection and listener of a host, as a crash would. */
  kill(host: string): void;
  /**
   * Holds up the process of a host: its kernel takes connections and bytes,
   * but the process neither reads nor writes until the result is called.
   */
  holdUp(host: string): () => void;
  /** Changes each frame on its way; returning `undefined` loses it. */
  replace(change: (frame: Frame, to: string) => Frame | undefined): void;
}

interface Connection {
  hosts: [string, string];
  ends: End[];
  silent: boolean;
}

/** Creates a fake network with the given default one-way delay. */
export function createFakeNetwork(
  timer: Timer,
  defaultDelayMs: number,
): FakeNetwork {
  const links = new Map<string, Link>();
  const listeners = new Map<string, (channel: Channel) => void>();
  const connections = new Set<Connection>();
  const changes: ((frame: Frame, to: string) => Frame | undefined)[] = [];
  /** What waits for processes that are held up. */
  const heldUp = new Map<string, (() => void)[]>();
  let nextPort = 40_000;

  function changed(frame: Frame, to: string): Frame | undefined {
    let passed: Frame | undefined = frame;
    for (const change of changes) {
      passed = passed && change(passed, to);
    }
    return passed;
  }

  /** Does something in the process of a host, once that is not held up. */
  function inProcess(host: string, task: () => void): void {
    const waiting = heldUp.get(host);
    if (waiting) {
      waiting.push(task);
    } else {
      task();
    }
  }

  function link(from: string, to: string): Link {
    const name = `${from}>${to}`;
    const known = links.get(name) ??
      { delayMs: from === to ? 0 : defaultDelayMs, cut: false };
    links.set(name, known);
    return known;
  }

  function createEnd(
    connection: Connection,
    options: { index: 0 | 1; peer: string },
  ): End {
    const { index, peer } = options;
    const closing = createCanceller();
    let closed = false;
    const inbox = createInbox();
    const from = connection.hosts[index];
    const to = connection.hosts[1 - index];

    function hangUp(): void {
      if (closed) {
        return;
      }
      closed = true;
      inbox.end();
      closing.cancel();
    }
    function transmit(arrive: (other: End) => void): void {
      const { delayMs, cut } = link(from, to);
      if (cut || connection.silent) {
        return;
      }
      inProcess(from, () =>
        timer.after(delayMs, () => {
          if (!connection.silent) {
            inProcess(to, () => arrive(connection.ends[1 - index]));
          }
        }));
    }
    const channel: Channel = {
      peer,
      get closed() {
        return closed;
      },
      send(frame) {
        if (closed) {
          return Promise.reject(
            new StepError("channel.send", "channel is closed", { peer }),
          );
        }
        const passed = changed(frame, to);
        if (passed) {
          transmit((other) => other.deliver(passed));
        }
        return Promise.resolve();
      },
      receive: () => inbox.next(),
      onClose: closing.onCancel,
      close() {
        if (!closed) {
          transmit((other) => other.hangUp());
          hangUp();
        }
      },
    };
    return {
      channel,
      deliver: (frame) => {
        if (!closed) {
          inbox.push(frame);
        }
      },
      hangUp,
    };
  }

  function hostOf(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
  }

  async function connect(
    host: string,
    options: { address: string; timeoutMs: number },
  ): Promise<Channel> {
    const { address, timeoutMs } = options;
    const target = hostOf(address);
    const outward = link(host, target);
    const back = link(target, host);
    const lost = outward.cut || back.cut;
    const waitMs = lost ? timeoutMs : outward.delayMs + back.delayMs;
    await new Promise<void>((resolve) => timer.after(waitMs, resolve));
    const accept = listeners.get(address);
    if (lost || !accept) {
      throw lost
        ? new TimeoutError("channel.connect", address, timeoutMs)
        : new StepError("channel.connect", "connection refused", {
          peer: address,
        });
    }
    const connection: Connection = {
      hosts: [host, target],
      ends: [],
      silent: false,
    };
    const peer = `${host}:${nextPort++}`;
    connection.ends.push(createEnd(connection, { index: 0, peer: address }));
    connection.ends.push(createEnd(connection, { index: 1, peer }));
    connections.add(connection);
    inProcess(target, () => accept(connection.ends[1].channel));
    return connection.ends[0].channel;
  }

  const network: FakeNetwork = {
    link,
    replace: (change) => changes.push(change),
    from: (host) => ({
      connect: (address, timeoutMs) => connect(host, { address, timeoutMs }),
      listen(address, accept): Promise<Listener> {
        listeners.set(address, accept);
        return Promise.resolve({
          address,
          close() {
            listeners.delete(address);
            return Promise.resolve();
          },
        });
      },
    }),
    silence(one, other) {
      for (const connection of connections) {
        const { hosts } = connection;
        if (hosts.includes(one) && hosts.includes(other)) {
          connection.silent = true;
        }
      }
    },
    holdUp(host) {
      heldUp.set(host, heldUp.get(host) ?? []);
      return () => {
        const waiting = heldUp.get(host) ?? [];
        heldUp.delete(host);
        waiting.forEach((task) => task());
      };
    },
    kill(host) {
      for (const address of [...listeners.keys()]) {
        if (hostOf(address) === host) {
          listeners.delete(address);
        }
      }
      for (const connection of connections) {
        if (connection.hosts.includes(host)) {
          connection.ends.forEach((end) => end.hangUp());
          connections.delete(connection);
        }
      }
    },
  };
  return network;
}
