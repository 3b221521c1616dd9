/**
 * Passes what a client sends on to the HTTP parser, no faster than the client's
 * requests are answered and it reads the answers. The runtime's own parser
 * handles all requests that were read at once, up to 3,000 of them, before it
 * can stop reading; requests that wait for their answers do not stop it at all.
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { processBufferCollector } from "../core/buffer_collector.ts";
import type { BudgetedConnection, ClientBudget } from "./client_budget.ts";
import {
  admitSurplus,
  makeRoom,
  type ReplaceableConnection,
} from "./connection_limit.ts";
import { type Connection, connectionOfSocket } from "./connections.ts";
import { createIncomingRate } from "./incoming_rate.ts";
import { createRequestsAhead } from "./requests_ahead.ts";
import { createUnparsedInput, HEAD_END } from "./unparsed_input.ts";

/**
 * Unparsed bytes with which a connection is no longer read. Below that, it is
 * read although its requests wait, so that the close by the client is noticed.
 */
const MAX_UNPARSED_BYTES = 16 * 1024;
/**
 * Input of a connection that is discarded before it is no longer read. Until
 * then it is read, so that the client gets the last answers and not a reset.
 */
const MAX_DISCARDED_BYTES = 256 * 1024;
/**
 * Bytes that the system may hold unread for a connection that is not read: the
 * window that it opens to a client at first.
 */
const SYSTEM_UNREAD_BYTES = 64 * 1024;
/**
 * Bytes of unread answers with which a connection that has to go is closed at
 * once; with less, its client gets the answers to what is handled first.
 */
const MAX_GRACEFUL_BYTES = 64 * 1024;

/** A socket, with the runtime's mark that it waits until answers are sent. */
type HttpSocket = Socket & { _paused?: boolean };

/** The input of one connection. */
interface Intake extends BudgetedConnection, ReplaceableConnection {}

function createIntake(
  connection: Connection,
  { parse, budget }: { parse: (part: Buffer) => void; budget: ClientBudget },
): Intake {
  const { limits } = budget;
  const socket: HttpSocket = connection.socket;
  const unparsed = createUnparsedInput();
  const ahead = createRequestsAhead(connection);
  const incoming = createIncomingRate();
  let discardedBytes = 0;
  let parsing = false;
  let paused = false;
  let activeAt = performance.now();
  /** Turn of the event loop in which the latest part was parsed. */
  let parsedInTurn = -1;
  let waitsForTurn = false;
  /** Whether a part may be parsed, since the connection has waited for its turn. */
  let hasTurn = false;
  /** What the budget has counted of this connection. */
  let countedBytes = 0;
  /** Whether the parser has a part of a head, whose time limit runs. */
  let headBegun = false;

  /** Bytes that change only here, so that the budget can count them at once. */
  function inputBytes(): number {
    return unparsed.bytes + (paused ? SYSTEM_UNREAD_BYTES : 0) +
      ahead.answerBytes;
  }

  function updateCount(): void {
    const bytes = inputBytes();
    const change = bytes - countedBytes;
    countedBytes = bytes;
    budget.changeHeld(change);
  }

  /**
   * Whether a part may be parsed in this turn; otherwise waits for a later one. A
   * client that sends nothing ahead does not wait behind those that do.
   */
  function takeTurn(): boolean {
    const isFirst = !ahead.any && parsedInTurn !== budget.turn;
    if (hasTurn || isFirst || budget.takeAhead()) {
      hasTurn = false;
      parsedInTurn = budget.turn;
      return true;
    }
    if (!waitsForTurn) {
      waitsForTurn = true;
      budget.onNextTurn(() => {
        waitsForTurn = false;
        hasTurn = true;
        proceed();
      });
    }
    return false;
  }

  /** Whether the limits of the connection allow that the next part is parsed. */
  function mayParse(): boolean {
    if (socket._paused) {
      // The parser fails if it gets input before its own pause ends.
      return false;
    }
    const { pending } = connection;
    const isOnlyBody = pending === 1 && connection.receiving;
    if (pending === 0 || isOnlyBody || headBegun) {
      return true;
    }
    return pending < limits.max_requests_ahead && !budget.crowded &&
      !socket.writableNeedDrain &&
      connection.unsentBytes < limits.max_unsent_bytes;
  }

  function parsePart(): void {
    const { latest } = connection;
    const part = unparsed.takePart();
    parse(part);
    // A part that began a request sets no mark: it would let clients that split
    // each head go beyond the limits without end.
    headBegun = connection.latest === latest && !connection.receiving &&
      part.indexOf(HEAD_END) < 0;
    if (!headBegun && !connection.receiving) {
      incoming.complete();
    }
    ahead.noteParsed(!unparsed.isEmpty);
  }

  /** Closes a connection whose client sends ahead without end. */
  function endPipelining(): void {
    if (ahead.answerBytes >= limits.max_ahead_bytes && !connection.refusing) {
      connection.refuseRequests();
      connection.afterResponses(() => socket.destroySoon());
    }
  }

  function parseUnparsed(): void {
    while (!unparsed.isEmpty && !socket.destroyed) {
      if (connection.discarding) {
        discardedBytes += unparsed.bytes;
        unparsed.clear();
      } else if (mayParse() && takeTurn()) {
        parsePart();
      } else {
        return;
      }
    }
  }

  function updatePause(): void {
    if (
      unparsed.bytes >= MAX_UNPARSED_BYTES ||
      discardedBytes >= MAX_DISCARDED_BYTES
    ) {
      paused = true;
      socket.pause();
    } else if (paused) {
      paused = false;
      if (!socket._paused) {
        socket.resume();
      }
    }
  }

  function proceed(): void {
    if (parsing || socket.destroyed) {
      return;
    }
    parsing = true;
    try {
      endPipelining();
      parseUnparsed();
    } finally {
      parsing = false;
    }
    updatePause();
    updateCount();
  }

  socket.on("data", (read: Buffer) => {
    activeAt = performance.now();
    ahead.noteInput(!unparsed.isEmpty);
    incoming.note(read.length, activeAt);
    unparsed.push(read);
    budget.requestCheck();
    processBufferCollector.note(read.length);
    proceed();
  });
  socket.once("end", () => {
    // The client has left: nobody reads answers to what is not handled yet.
    unparsed.clear();
    updateCount();
  });
  socket.once("close", () => {
    unparsed.clear();
    budget.changeHeld(-countedBytes);
    countedBytes = 0;
  });
  socket.on("drain", proceed);
  socket.on("resume", proceed);
  connection.onPending((change) => {
    budget.changePending(change);
    proceed();
  });

  return {
    connection,
    get activeAt() {
      return activeAt;
    },
    get heldBytes() {
      return inputBytes() + socket.readableLength + connection.unsentBytes;
    },
    get sentBytes() {
      return ahead.sentBytes;
    },
    get sendsAhead() {
      return ahead.any;
    },
    get isSlowSender() {
      return incoming.isSlow(performance.now());
    },
    get isStuck() {
      return budget.isStuck(this);
    },
    get ahead() {
      return ahead.any || !unparsed.isEmpty || connection.pending > 1;
    },
    shed() {
      const { unsentBytes, receiving } = connection;
      // What follows a dropped part of a body would be taken for that part.
      const cutsBody = receiving && !unparsed.isEmpty;
      const isUnread = unsentBytes > 0 ||
        ahead.answerBytes > MAX_GRACEFUL_BYTES;
      unparsed.clear();
      if (isUnread || socket.readableLength > 0 || cutsBody) {
        socket.destroy();
        return;
      }
      connection.refuseRequests();
      connection.afterResponses(() => socket.destroySoon());
      updatePause();
      updateCount();
    },
  };
}

/** The limits on the clients of one server. */
export interface IntakeLimits {
  /**
   * Called with a connection for which there is no room once its first request
   * has come; returns whether there is room for it now.
   */
  admit(connection: Connection): boolean;
}

/**
 * Limits what the clients of a server may make it hold. `trackConnections` must
 * have been called for the server.
 */
export function limitIntake(
  server: Server,
  { budget, maxConnections }: {
    budget: ClientBudget;
    maxConnections: number;
  },
): IntakeLimits {
  const intakes = new Map<Socket, Intake>();

  function findRoom(hasRequest: boolean): boolean {
    return intakes.size < maxConnections ||
      makeRoom([...intakes.values()], { maxConnections, hasRequest });
  }

  server.on("connection", (socket: Socket) => {
    const connection = connectionOfSocket(socket);
    const [parse] = socket.listeners("data") as ((part: Buffer) => void)[];
    if (!connection || !parse) {
      return;
    }
    if (!findRoom(false)) {
      admitSurplus(server, connection);
    }
    // The parser no longer reads from the connection itself.
    socket.removeListener("data", parse);
    const intake = createIntake(connection, { parse, budget });
    intakes.set(socket, intake);
    budget.add(intake);
    socket.once("close", () => {
      intakes.delete(socket);
      budget.remove(intake);
    });
  });

  return {
    admit(connection) {
      connection.setSurplus(!findRoom(true));
      return !connection.surplus;
    },
  };
}
