/**
 * In-memory channels with delays and failures that a test controls.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { StepError, TimeoutError } from "../core/errors.ts";
import type { Timer } from "../time/timer.ts";
import type { Channel, Listener, Network } from "./channel.ts";
import type { Frame } from "./frames.ts";
import { createInbox } from "./inbox.ts";

/** One direction of the link between two hosts. */
export interface Link {
  /** One-way delay in milliseconds. */
  delayMs: number;
  /** Whether new connections fail and open ones lose every frame. */
  cut: boolean;
}

interface Endpoint {
  channel: Channel;
  deliver(frame: Frame): void;
  disconnect(): void;
}

/** A network that a test controls. A host is an address without its port. */
export interface FakeNetwork {
  /** Returns the network interface of the given host. */
  from(host: string): Network;
  /** Returns the link from one host to another; it may be modified in place. */
  link(from: string, to: string): Link;
  /** Drops all further frames of every open connection between two hosts. */
  silence(one: string, other: string): void;
  /** Closes every connection and listener of a host, as a crash does. */
  kill(host: string): void;
  /**
   * Stalls the process of a host: its kernel accepts connections and data, but
   * the process neither reads nor writes until the returned function is called.
   */
  stall(host: string): () => void;
  /** Replaces each frame that is sent; returning `undefined` drops it. */
  replaceFrames(change: (frame: Frame, to: string) => Frame | undefined): void;
}

interface Connection {
  hosts: [string, string];
  endpoints: Endpoint[];
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
  /** Pending tasks of stalled processes by host. */
  const stalledTasks = new Map<string, (() => void)[]>();
  let nextPort = 40_000;

  function applyChanges(frame: Frame, to: string): Frame | undefined {
    let delivered: Frame | undefined = frame;
    for (const change of changes) {
      delivered = delivered && change(delivered, to);
    }
    return delivered;
  }

  /** Runs a task in the process of a host, or queues it during a stall. */
  function runInProcess(host: string, task: () => void): void {
    const pendingTasks = stalledTasks.get(host);
    if (pendingTasks) {
      pendingTasks.push(task);
    } else {
      task();
    }
  }

  function link(from: string, to: string): Link {
    const name = `${from}>${to}`;
    const existing = links.get(name) ??
      { delayMs: from === to ? 0 : defaultDelayMs, cut: false };
    links.set(name, existing);
    return existing;
  }

  function createEndpoint(
    connection: Connection,
    options: { index: 0 | 1; peer: string },
  ): Endpoint {
    const { index, peer } = options;
    const closeSignal = createCanceller();
    let closed = false;
    const inbox = createInbox();
    const from = connection.hosts[index];
    const to = connection.hosts[1 - index];

    function disconnect(): void {
      if (closed) {
        return;
      }
      closed = true;
      inbox.end();
      closeSignal.cancel();
    }
    function transmit(arrive: (other: Endpoint) => void): void {
      const { delayMs, cut } = link(from, to);
      if (cut || connection.silent) {
        return;
      }
      runInProcess(from, () =>
        timer.after(delayMs, () => {
          if (!connection.silent) {
            runInProcess(to, () => arrive(connection.endpoints[1 - index]));
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
        const delivered = applyChanges(frame, to);
        if (delivered) {
          transmit((other) => other.deliver(delivered));
        }
        return Promise.resolve();
      },
      receive: () => inbox.next(),
      onClose: closeSignal.onCancel,
      close() {
        if (!closed) {
          transmit((other) => other.disconnect());
          disconnect();
        }
      },
    };
    return {
      channel,
      deliver: (frame) => {
        if (!closed) {
          inbox.push(frame, 0);
        }
      },
      disconnect,
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
    const targetHost = hostOf(address);
    const outbound = link(host, targetHost);
    const inbound = link(targetHost, host);
    const unreachable = outbound.cut || inbound.cut;
    const waitMs = unreachable ? timeoutMs : outbound.delayMs + inbound.delayMs;
    await new Promise<void>((resolve) => timer.after(waitMs, resolve));
    const accept = listeners.get(address);
    if (unreachable || !accept) {
      throw unreachable
        ? new TimeoutError("channel.connect", address, timeoutMs)
        : new StepError("channel.connect", "connection refused", {
          peer: address,
        });
    }
    const connection: Connection = {
      hosts: [host, targetHost],
      endpoints: [],
      silent: false,
    };
    const peer = `${host}:${nextPort++}`;
    connection.endpoints.push(
      createEndpoint(connection, { index: 0, peer: address }),
    );
    connection.endpoints.push(createEndpoint(connection, { index: 1, peer }));
    connections.add(connection);
    runInProcess(targetHost, () => accept(connection.endpoints[1].channel));
    return connection.endpoints[0].channel;
  }

  const network: FakeNetwork = {
    link,
    replaceFrames: (change) => changes.push(change),
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
    stall(host) {
      stalledTasks.set(host, stalledTasks.get(host) ?? []);
      return () => {
        const pendingTasks = stalledTasks.get(host) ?? [];
        stalledTasks.delete(host);
        pendingTasks.forEach((task) => task());
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
          connection.endpoints.forEach((endpoint) => endpoint.disconnect());
          connections.delete(connection);
        }
      }
    },
  };
  return network;
}
