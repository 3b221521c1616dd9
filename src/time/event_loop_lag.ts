/**
 * Event loop lag: the delay with which a process reads its input. After a stall
 * of the event loop, requests and the closing of their connections are both
 * pending in the sockets, and the runtime reports a close one poll of the
 * sockets after the request. Requests that were read late wait here until that
 * poll has run, so that no work starts for callers that have disconnected.
 * @module
 */
import { performance } from "node:perf_hooks";

/** Lag from which work waits for the next polls. */
const LAG_THRESHOLD_MS = 50;
/** Interval of the timer that detects stalls, while input is read. */
const TICK_INTERVAL_MS = 20;
/** Interval of that timer while the process is idle. */
const IDLE_TICK_INTERVAL_MS = 250;
/** Time without input after which the process counts as idle. */
const IDLE_AFTER_MS = 100;
/** Polls after which everything pending in open sockets has been read. */
const POLLS_TO_READ_BACKLOG = 3;
/** Polls after which a close that followed a request is reported. */
const POLLS_TO_DETECT_CLOSE = 2;
/**
 * Number of waiting tasks that start between two polls. It is small so that
 * closes that arrive meanwhile are read before the remaining tasks start.
 */
const MAX_STARTS_PER_POLL = 8;
/** Longest time for which new connections are preferred to waiting tasks. */
const MAX_ACCEPT_FIRST_MS = 25;

/** Measures the lag of this process and delays work that was read late. */
export interface EventLoopLag {
  /**
   * Whether closes may be pending behind the input that is read now, because
   * the loop was stalled or connections are queued.
   */
  readonly lagging: boolean;
  /**
   * Longest time in milliseconds for which the input that is read now may have
   * been pending during a stall; 0 if the loop was not stalled.
   */
  readonly maxUnreadMs: number;
  /** Records that a connection was accepted. */
  recordAccept(): void;
  /**
   * Resolves once a close that directly followed the request would have been
   * reported, and it is the request's turn. Requests for which `isCancelled`
   * returns true do not wait for their turn.
   */
  waitForTurn(isCancelled: () => boolean): Promise<void>;
  /** For running work: resolves once a pending close would be reported. */
  waitForCloses(): Promise<void>;
  /** Calls `listener` with the delay of each timer tick, in milliseconds. */
  onTick(listener: (delayMs: number) => void): void;
  /** Stops the timer. */
  stop(): void;
}

/** The lag of a process that never stalls, for fake time. */
export const noLag: EventLoopLag = {
  lagging: false,
  maxUnreadMs: 0,
  recordAccept() {},
  waitForTurn: () => Promise.resolve(),
  waitForCloses: () => Promise.resolve(),
  onTick() {},
  stop() {},
};

/** The clock and the event loop hooks that the lag is measured with. */
export interface EventLoopClock {
  now(): number;
  /** Calls `task` after the next poll of the sockets. */
  afterPoll(task: () => void): void;
  /** Calls `task` once after `delayMs`; returns a function that cancels it. */
  after(delayMs: number, task: () => void): () => void;
}

/** The event loop of this process. */
export const systemEventLoopClock: EventLoopClock = {
  now: () => performance.now(),
  afterPoll: (task) => void setImmediate(task),
  after(delayMs, task) {
    const handle = setTimeout(task, delayMs).unref();
    return () => clearTimeout(handle);
  },
};

/**
 * Estimates when input arrived that may have been pending for up to
 * `maxUnreadMs`. The estimate is the middle of that time, so its error is at
 * most half of it.
 */
export function estimateArrival(readAt: number, maxUnreadMs: number): number {
  return readAt - maxUnreadMs / 2;
}

interface WaitingTask {
  /** Whether the task need not wait for its turn. */
  isCancelled: () => boolean;
  resume: () => void;
  /** Number of polls when the task started to wait. */
  enqueuedAtPoll: number;
}

/** Measures the lag of the event loop of this process. */
export function createEventLoopLag(
  clock: EventLoopClock = systemEventLoopClock,
): EventLoopLag {
  const listeners: ((delayMs: number) => void)[] = [];
  let lastTickAt = clock.now();
  let tickIntervalMs = TICK_INTERVAL_MS;
  /** Time of the last read of input. */
  let lastReadAt = lastTickAt;
  let polls = 0;
  let pollScheduled = false;
  /** Length of the stall whose pending input is being read. */
  let stallMs = 0;
  /** Number of polls from which on no input of the stall is pending. */
  let stalledUntilPoll = 0;
  /** Number of polls from which on no input or queued connection is pending. */
  let laggingUntilPoll = 0;
  let acceptedThisPoll = false;
  /** Time since which every poll has accepted a connection. */
  let acceptingSince: number | undefined;
  let waiting: WaitingTask[] = [];
  let waitingSince = 0;

  function schedulePoll(): void {
    if (!pollScheduled) {
      pollScheduled = true;
      clock.afterPoll(handlePoll);
    }
  }

  function recordStall(ms: number): void {
    stallMs = Math.max(stallMs, ms);
    stalledUntilPoll = polls + POLLS_TO_READ_BACKLOG;
    laggingUntilPoll = stalledUntilPoll;
    schedulePoll();
  }

  /** Detects a stall; also called by reads, which may precede the tick. */
  function detectLag(): void {
    const now = clock.now();
    const delayMs = now - lastTickAt - tickIntervalMs;
    if (delayMs >= LAG_THRESHOLD_MS) {
      recordStall(delayMs);
    }
    if (
      acceptingSince !== undefined && now - acceptingSince >= LAG_THRESHOLD_MS
    ) {
      laggingUntilPoll = polls + POLLS_TO_READ_BACKLOG;
    }
  }

  /** Records a read of input and ends the idle interval of the timer. */
  function recordRead(): void {
    detectLag();
    lastReadAt = clock.now();
    if (tickIntervalMs === IDLE_TICK_INTERVAL_MS) {
      cancelTick();
      tick();
    }
  }

  function tick(): void {
    detectLag();
    const now = clock.now();
    const delayMs = Math.max(0, now - lastTickAt - tickIntervalMs);
    lastTickAt = now;
    const idle = now - lastReadAt >= IDLE_AFTER_MS &&
      polls >= laggingUntilPoll &&
      waiting.length === 0;
    tickIntervalMs = idle ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS;
    cancelTick = clock.after(tickIntervalMs, tick);
    listeners.forEach((listener) => listener(delayMs));
  }

  function handlePoll(): void {
    pollScheduled = false;
    polls++;
    // A poll accepts one connection, so others may be queued behind it.
    if (!acceptedThisPoll) {
      acceptingSince = undefined;
    } else if (polls <= laggingUntilPoll) {
      laggingUntilPoll = polls + POLLS_TO_READ_BACKLOG;
    }
    if (polls >= stalledUntilPoll) {
      stallMs = 0;
    }
    resumeWaiting();
    acceptedThisPoll = false;
    if (
      acceptingSince !== undefined || polls < laggingUntilPoll ||
      waiting.length > 0
    ) {
      schedulePoll();
    }
  }

  /** Resumes all cancelled tasks and a limited number of the others. */
  function resumeWaiting(): void {
    const acceptFirst = acceptedThisPoll &&
      clock.now() - waitingSince < MAX_ACCEPT_FIRST_MS;
    let remainingStarts = acceptFirst ? 0 : MAX_STARTS_PER_POLL;
    const remaining: WaitingTask[] = [];
    for (const task of waiting) {
      const closeDetectable =
        polls - task.enqueuedAtPoll >= POLLS_TO_DETECT_CLOSE;
      if (closeDetectable && (task.isCancelled() || remainingStarts-- > 0)) {
        task.resume();
      } else {
        remaining.push(task);
      }
    }
    waiting = remaining;
  }

  function waitForPolls(isCancelled: () => boolean): Promise<void> {
    if (waiting.length === 0) {
      waitingSince = clock.now();
    }
    return new Promise((resume) => {
      waiting.push({ isCancelled, resume, enqueuedAtPoll: polls });
      schedulePoll();
    });
  }

  let cancelTick = clock.after(tickIntervalMs, tick);

  return {
    get lagging() {
      recordRead();
      return polls < laggingUntilPoll;
    },
    get maxUnreadMs() {
      recordRead();
      return polls < stalledUntilPoll ? stallMs : 0;
    },
    recordAccept() {
      acceptedThisPoll = true;
      acceptingSince ??= clock.now();
      schedulePoll();
    },
    waitForTurn: waitForPolls,
    waitForCloses: () => waitForPolls(() => true),
    onTick: (listener) => void listeners.push(listener),
    stop: () => cancelTick(),
  };
}
