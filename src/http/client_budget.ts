/**
 * What all HTTP connections of a process hold together, and the choice of those
 * that are closed when it is too much. The load is many connections that each
 * stay within the limits of one, but whose clients read no answers.
 * @module
 */
import { createSystemTimer, type Timer } from "../time/timer.ts";
import { type ClientLimits, DEFAULT_CLIENT_LIMITS } from "./client_limits.ts";

/** Interval at which the bytes of all connections are added up. */
const CHECK_INTERVAL_MS = 250;
/**
 * Time without a byte taken by the client's system after which a connection
 * without requests ahead may be closed; a client that downloads slowly takes
 * some earlier.
 */
const STUCK_MS = 5_000;

/**
 * Parts of the input beyond the first of each connection that are parsed in one
 * turn of the event loop. More would keep the requests of other clients waiting.
 */
const MAX_AHEAD_PER_TURN = 32;

/** A connection, as the budget sees it. */
export interface BudgetedConnection {
  /** Bytes that the process holds for the connection. */
  readonly heldBytes: number;
  /** Bytes that the client's system has taken so far. */
  readonly sentBytes: number;
  /** Whether its client has sent requests ahead that are not answered. */
  readonly ahead: boolean;
  /** Closes the connection, to free what it holds. */
  shed(): void;
}

/** What all HTTP connections of a process hold. */
export interface ClientBudget {
  readonly limits: ClientLimits;
  /** Whether so many requests are handled that each connection may have one. */
  readonly crowded: boolean;
  add(connection: BudgetedConnection): void;
  remove(connection: BudgetedConnection): void;
  /** Adds to the number of requests that are handled, or takes from it. */
  changePending(change: number): void;
  /** Identifies the present turn of the event loop. */
  readonly turn: number;
  /**
   * Whether one more part of the input beyond the first of its connection may be
   * parsed in this turn; counts it if so.
   */
  takeAhead(): boolean;
  /**
   * Calls `task` in one of the next turns, which then counts as taken: as many in
   * each turn as may be, in the order of the calls.
   */
  onNextTurn(task: () => void): void;
  /**
   * Adds to the bytes of input that connections hold, or takes from them. Beyond
   * the limit, the bytes of all connections are added up at once.
   */
  changeHeld(change: number): void;
  /** Whether a connection's client has long taken nothing of what is held. */
  isStuck(connection: BudgetedConnection): boolean;
  /** Adds up the bytes of all connections soon; closes some if need be. */
  requestCheck(): void;
  /** Adds up the bytes of all connections now; closes some if need be. */
  check(): void;
}

/** Options of {@link createClientBudget}. */
export interface ClientBudgetOptions {
  limits?: ClientLimits;
  timer?: Timer;
  /** Called after connections were closed because all hold too much. */
  onShed?: (shed: { connections: number; bytes: number }) => void;
}

/** Bytes that a client's system has taken, and since when no more. */
interface Progress {
  sent: number;
  since: number;
}

/** Creates the budget of the servers of one process. */
export function createClientBudget(
  options: ClientBudgetOptions = {},
): ClientBudget {
  const {
    limits = DEFAULT_CLIENT_LIMITS,
    timer = createSystemTimer(),
    onShed = () => {},
  } = options;
  /** Connections, and what each had sent at which time. */
  const progressOf = new Map<BudgetedConnection, Progress>();
  let pending = 0;
  let checkRequested = false;
  let turn = 0;
  let turnEnds = false;
  let aheadInTurn = 0;
  const waiting: (() => void)[] = [];
  /** Bytes of input that connections hold. */
  let heldBytes = 0;
  /** Turn in which the bytes were last added up because of the limit. */
  let checkedInTurn = -1;

  function beginTurn(): void {
    turnEnds = false;
    turn++;
    const due = waiting.splice(0, MAX_AHEAD_PER_TURN);
    aheadInTurn = due.length;
    due.forEach((task) => task());
    if (waiting.length > 0) {
      awaitTurnEnd();
    }
  }

  function awaitTurnEnd(): void {
    if (!turnEnds) {
      turnEnds = true;
      setImmediate(beginTurn);
    }
  }

  function hasNoProgress(connection: BudgetedConnection): boolean {
    const since = progressOf.get(connection)?.since ?? Infinity;
    return since <= timer.now() - STUCK_MS;
  }

  /**
   * Chooses connections to close: those with requests ahead, then those whose
   * clients have long taken nothing, and those that hold most first.
   */
  function choose(total: number): BudgetedConnection[] {
    const candidates = [...progressOf.keys()]
      .map((connection) => ({
        connection,
        bytes: connection.heldBytes,
        ahead: connection.ahead,
        stuck: hasNoProgress(connection),
      }))
      .filter(({ bytes, ahead, stuck }) => bytes > 0 && (ahead || stuck))
      .sort((a, b) => Number(b.ahead) - Number(a.ahead) || b.bytes - a.bytes);
    const chosen: BudgetedConnection[] = [];
    let excess = total - limits.max_buffered_bytes;
    for (const { connection, bytes } of candidates) {
      if (excess <= 0) {
        break;
      }
      chosen.push(connection);
      excess -= bytes;
    }
    return chosen;
  }

  /** Records which clients have taken bytes; returns the bytes of all. */
  function recordProgress(): number {
    const now = timer.now();
    let total = 0;
    for (const [connection, { sent }] of progressOf) {
      total += connection.heldBytes;
      if (connection.sentBytes !== sent) {
        progressOf.set(connection, { sent: connection.sentBytes, since: now });
      }
    }
    return total;
  }

  function check(): void {
    const total = recordProgress();
    if (total > limits.max_buffered_bytes) {
      const chosen = choose(total);
      chosen.forEach((connection) => connection.shed());
      if (chosen.length > 0) {
        onShed({ connections: chosen.length, bytes: total });
      }
    }
    // The answers to requests that are handled may be large and stay unread.
    if (total > 0 || pending > 0) {
      requestCheck();
    }
  }

  function requestCheck(): void {
    if (checkRequested) {
      return;
    }
    checkRequested = true;
    timer.after(CHECK_INTERVAL_MS, () => {
      checkRequested = false;
      check();
    });
  }

  return {
    limits,
    get crowded() {
      return pending >= limits.max_pending_requests;
    },
    add: (connection) =>
      void progressOf.set(connection, { sent: 0, since: timer.now() }),
    remove: (connection) => void progressOf.delete(connection),
    changePending(change) {
      pending += change;
    },
    get turn() {
      awaitTurnEnd();
      return turn;
    },
    takeAhead: () => waiting.length === 0 && aheadInTurn++ < MAX_AHEAD_PER_TURN,
    changeHeld(change) {
      heldBytes += change;
      const isOver = change > 0 && heldBytes > limits.max_buffered_bytes;
      if (isOver && checkedInTurn !== turn) {
        checkedInTurn = turn;
        awaitTurnEnd();
        check();
      }
    },
    isStuck: (connection) =>
      connection.heldBytes > 0 && hasNoProgress(connection),
    onNextTurn(task) {
      waiting.push(task);
      awaitTurnEnd();
    },
    requestCheck,
    check,
  };
}
