/**
 * Event loop lag: how late a process reads what came for it. After a hold-up
 * requests and the closing of their connections lie in its sockets, and the
 * runtime tells of a closing one poll of the sockets after the request. Work
 * that was read late waits here until that poll has been.
 * @module
 */
import { performance } from "node:perf_hooks";

/** Lag from which on work waits for the next poll, in milliseconds. */
const LATE_MS = 50;
/** Interval of the beat by which a hold-up is noticed, while work comes. */
const BEAT_MS = 20;
/** The same while nothing comes. */
const RESTING_BEAT_MS = 250;
/** Time without work after which a process rests. */
const REST_AFTER_MS = 100;
/** Polls after which all that lay in open sockets was read. */
const POLLS_TO_SETTLE = 3;
/** Polls after which the closing behind a request is known. */
const POLLS_TO_CLOSE = 2;
/**
 * Waiting pieces of work that start between two polls. Few, so that closings
 * that come meanwhile are read before the rest starts.
 */
const STARTS_PER_POLL = 8;
/** Longest time for which new connections go before waiting work. */
const ACCEPTING_MS = 25;

/** Tells how late this process is, and holds work that was read late. */
export interface EventLoopLag {
  /**
   * Whether closings may lie behind what is read now: the loop was held up, or
   * connections have queued up.
   */
  readonly late: boolean;
  /**
   * Longest time in milliseconds for which what is read now lay unread while
   * the loop was held up. 0 while the process keeps up.
   */
  readonly unreadMs: number;
  /** A connection was accepted. */
  noteAccepted(): void;
  /**
   * Resolves once a closing that came right behind the work would be known,
   * and it is the work's turn. What `isGone` by then comes first.
   */
  caughtUp(isGone: () => boolean): Promise<void>;
  /** Resolves once such a closing would be known, for work under way. */
  closingsKnown(): Promise<void>;
  /** Calls `listener` with the delay of each beat, in milliseconds. */
  onBeat(listener: (delayMs: number) => void): void;
  /** Ends the beat. */
  stop(): void;
}

/** A process that is never late, as under fake time. */
export const noLag: EventLoopLag = {
  late: false,
  unreadMs: 0,
  noteAccepted() {},
  caughtUp: () => Promise.resolve(),
  closingsKnown: () => Promise.resolve(),
  onBeat() {},
  stop() {},
};

/** What the lag is measured with; replaced in tests. */
export interface LoopClock {
  now(): number;
  /** Calls `task` after the next poll of the sockets. */
  afterPoll(task: () => void): void;
  /** Calls `task` once after `delayMs`; returns what takes it back. */
  after(delayMs: number, task: () => void): () => void;
}

/** The event loop of this process. */
export const systemLoopClock: LoopClock = {
  now: () => performance.now(),
  afterPoll: (task) => void setImmediate(task),
  after(delayMs, task) {
    const handle = setTimeout(task, delayMs).unref();
    return () => clearTimeout(handle);
  },
};

/**
 * When work arrived that may have lain unread for up to `unreadMs`: the middle,
 * which is wrong by half of that at most.
 */
export function arrivalOf(readAt: number, unreadMs: number): number {
  return readAt - unreadMs / 2;
}

interface Waiting {
  /** Whether it need not wait for its turn. */
  isGone: () => boolean;
  resume: () => void;
  /** Number of polls when it came. */
  since: number;
}

/** Watches the event loop of a process. */
export function createEventLoopLag(
  clock: LoopClock = systemLoopClock,
): EventLoopLag {
  const listeners: ((delayMs: number) => void)[] = [];
  let beatAt = clock.now();
  let periodMs = BEAT_MS;
  /** When something was last read. */
  let activeAt = beatAt;
  let polls = 0;
  let watching = false;
  /** Length of a hold-up whose unread input is being read. */
  let heldMs = 0;
  /** Number of polls from which on nothing of a hold-up is unread. */
  let heldUntil = 0;
  /** The same, with connections that were queued. */
  let lateUntil = 0;
  let acceptedThisPoll = false;
  /** Time since when each poll has accepted a connection. */
  let acceptingSince: number | undefined;
  let waiting: Waiting[] = [];
  let waitingSince = 0;

  function watch(): void {
    if (!watching) {
      watching = true;
      clock.afterPoll(afterPoll);
    }
  }

  function noteHeld(ms: number): void {
    heldMs = Math.max(heldMs, ms);
    heldUntil = polls + POLLS_TO_SETTLE;
    lateUntil = heldUntil;
    watch();
  }

  /** Notices a hold-up also where a poll comes before the beat. */
  function check(): void {
    const now = clock.now();
    const delayMs = now - beatAt - periodMs;
    if (delayMs >= LATE_MS) {
      noteHeld(delayMs);
    }
    if (acceptingSince !== undefined && now - acceptingSince >= LATE_MS) {
      lateUntil = polls + POLLS_TO_SETTLE;
    }
  }

  /** Something is read: the beat is fast while work comes. */
  function checkAwake(): void {
    check();
    activeAt = clock.now();
    if (periodMs === RESTING_BEAT_MS) {
      cancelBeat();
      beat();
    }
  }

  function beat(): void {
    check();
    const now = clock.now();
    const delayMs = Math.max(0, now - beatAt - periodMs);
    beatAt = now;
    const rests = now - activeAt >= REST_AFTER_MS && polls >= lateUntil &&
      waiting.length === 0;
    periodMs = rests ? RESTING_BEAT_MS : BEAT_MS;
    cancelBeat = clock.after(periodMs, beat);
    listeners.forEach((listener) => listener(delayMs));
  }

  function afterPoll(): void {
    watching = false;
    polls++;
    // A poll accepts one connection; others may be queued behind it.
    if (!acceptedThisPoll) {
      acceptingSince = undefined;
    } else if (polls <= lateUntil) {
      lateUntil = polls + POLLS_TO_SETTLE;
    }
    if (polls >= heldUntil) {
      heldMs = 0;
    }
    startWaiting();
    acceptedThisPoll = false;
    if (
      acceptingSince !== undefined || polls < lateUntil || waiting.length > 0
    ) {
      watch();
    }
  }

  /** Lets go what is gone, and of the rest a few. */
  function startWaiting(): void {
    const acceptFirst = acceptedThisPoll &&
      clock.now() - waitingSince < ACCEPTING_MS;
    let starts = acceptFirst ? 0 : STARTS_PER_POLL;
    const still: Waiting[] = [];
    for (const one of waiting) {
      const known = polls - one.since >= POLLS_TO_CLOSE;
      if (known && (one.isGone() || starts-- > 0)) {
        one.resume();
      } else {
        still.push(one);
      }
    }
    waiting = still;
  }

  function wait(isGone: () => boolean): Promise<void> {
    if (waiting.length === 0) {
      waitingSince = clock.now();
    }
    return new Promise((resume) => {
      waiting.push({ isGone, resume, since: polls });
      watch();
    });
  }

  let cancelBeat = clock.after(periodMs, beat);

  return {
    get late() {
      checkAwake();
      return polls < lateUntil;
    },
    get unreadMs() {
      checkAwake();
      return polls < heldUntil ? heldMs : 0;
    },
    noteAccepted() {
      acceptedThisPoll = true;
      acceptingSince ??= clock.now();
      watch();
    },
    caughtUp: wait,
    closingsKnown: () => wait(() => true),
    onBeat: (listener) => void listeners.push(listener),
    stop: () => cancelBeat(),
  };
}
