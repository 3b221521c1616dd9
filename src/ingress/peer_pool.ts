/**
 * Pool of channels to the guards of other VMs. A channel serves one exchange at
 * a time. It is closed, and not reused, if its exchange was abandoned.
 * @module
 */
import { StepError } from "../core/errors.ts";
import type { Supervisor } from "../core/tasks.ts";
import type { Channel, Network } from "../network/channel.ts";
import type { Load } from "../network/frames.ts";
import { sleep, type Timer, withTimeout } from "../time/timer.ts";

/** Timeouts of a pool. */
export interface PoolTimeouts {
  connectMs: number;
  silenceMs: number;
  idlePingMs: number;
}

/** Pool of channels to peers. */
export interface PeerPool {
  /** Takes an idle channel to a peer, or connects. Rejects with `StepError`. */
  take(address: string): Promise<Channel>;
  /** Opens a new channel to a peer. */
  connect(address: string): Promise<Channel>;
  /** Returns a channel to the pool after its exchange has ended regularly. */
  release(channel: Channel): void;
  /**
   * Closes the idle channels to a peer, after one to it failed or was silent.
   */
  closeIdle(address: string): void;
  /** Pings a peer, and resolves with its load, or undefined on failure. */
  ping(address: string): Promise<Load | undefined>;
  /** Returns the number of idle channels. */
  idleCount(): number;
  /** Closes all idle channels. */
  close(): void;
}

/** Options of {@link createPeerPool}. */
export interface PeerPoolOptions {
  network: Network;
  timer: Timer;
  supervisor: Supervisor;
  timeouts: () => PoolTimeouts;
}

/** A channel that no exchange uses. */
interface IdleChannel {
  channel: Channel;
  /** Monotonic time at which its last exchange ended. */
  idleSince: number;
  /** Monotonic time at which its peer last answered on it. */
  answeredAt: number;
}

const MAX_IDLE_PER_PEER = 64;
/**
 * Idle time after which a channel is closed. By then its pings have cost about
 * as much as the new connection that may be needed later.
 */
const IDLE_LIFETIME_MS = 3_000;

/** Creates an empty pool. */
export function createPeerPool(options: PeerPoolOptions): PeerPool {
  const { network, timer, supervisor, timeouts } = options;
  const idle = new Map<string, IdleChannel[]>();

  function removeIdle(address: string, channel: Channel): void {
    const list = idle.get(address)?.filter((entry) =>
      entry.channel !== channel
    );
    if (list && list.length > 0) {
      idle.set(address, list);
    } else {
      idle.delete(address);
    }
  }

  function closeIdle(address: string): void {
    const list = idle.get(address) ?? [];
    idle.delete(address);
    list.forEach(({ channel }) => channel.close());
  }

  async function connect(address: string): Promise<Channel> {
    return await network.connect(address, timeouts().connectMs);
  }

  /** Adds a channel behind those that have been idle for longer. */
  function addIdle(entry: IdleChannel): void {
    const { channel, idleSince } = entry;
    const list = idle.get(channel.peer) ?? [];
    if (channel.closed || list.length >= MAX_IDLE_PER_PEER) {
      channel.close();
      return;
    }
    const next = list.findIndex((other) => other.idleSince > idleSince);
    list.splice(next < 0 ? list.length : next, 0, entry);
    idle.set(channel.peer, list);
  }

  function release(channel: Channel): void {
    const now = timer.now();
    addIdle({ channel, idleSince: now, answeredAt: now });
  }

  function takeIdle(address: string): Channel | undefined {
    const list = idle.get(address);
    while (list && list.length > 0) {
      const { channel } = list.pop()!;
      if (!channel.closed) {
        return channel;
      }
    }
    return undefined;
  }

  /** Pings on a channel; rejects if anything but a pong comes back. */
  async function pingOn(channel: Channel): Promise<Load | undefined> {
    await channel.send({ kind: "ping" });
    const frame = await withTimeout(timer, channel.receive(), {
      step: "channel.ping",
      peer: channel.peer,
      timeoutMs: timeouts().silenceMs,
    });
    if (frame?.kind !== "pong") {
      throw new StepError("channel.ping", `got ${frame?.kind ?? "a close"}`, {
        peer: channel.peer,
      });
    }
    return frame.load;
  }

  async function ping(address: string): Promise<Load | undefined> {
    let channel: Channel | undefined;
    try {
      channel = takeIdle(address) ?? await connect(address);
      const load = await pingOn(channel);
      release(channel);
      return load;
    } catch {
      channel?.close();
      closeIdle(address);
      return undefined;
    }
  }

  /** Closes the channels of a list that have been idle for too long. */
  function closeExpired(list: readonly IdleChannel[]): void {
    const idleBefore = timer.now() - IDLE_LIFETIME_MS;
    for (const { channel, idleSince } of list) {
      if (idleSince < idleBefore) {
        removeIdle(channel.peer, channel);
        channel.close();
      }
    }
  }

  /** Pings on an idle channel; a failure closes all idle ones to its peer. */
  function check(entry: IdleChannel): void {
    const { channel } = entry;
    removeIdle(channel.peer, channel);
    pingOn(channel).then(
      () => addIdle({ ...entry, answeredAt: timer.now() }),
      () => {
        channel.close();
        closeIdle(channel.peer);
      },
    );
  }

  /** Pings on the oldest idle channel to each peer, and closes expired ones. */
  async function maintainIdle(): Promise<void> {
    while (!supervisor.signal.aborted) {
      const { idlePingMs } = timeouts();
      await sleep(timer, idlePingMs, { signal: supervisor.signal });
      for (const [address, list] of [...idle]) {
        closeExpired([...list]);
        const oldest = idle.get(address)?.[0];
        if (oldest && timer.now() - oldest.answeredAt >= idlePingMs) {
          check(oldest);
        }
      }
    }
  }
  supervisor.start("pool.maintain_idle", maintainIdle);

  return {
    take: async (address) => takeIdle(address) ?? await connect(address),
    connect,
    release,
    closeIdle,
    ping,
    idleCount: () =>
      [...idle.values()].reduce((sum, list) => sum + list.length, 0),
    close() {
      for (const address of [...idle.keys()]) {
        closeIdle(address);
      }
    },
  };
}
