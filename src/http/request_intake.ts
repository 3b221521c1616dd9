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
  type Connection,
  connectionOfSocket,
  connectionsOfServer,
} from "./connections.ts";

/**
 * The end of a request's head. A request ends no earlier, so a part of the input
 * up to the first one has at most one new request, or two if the end of the head
 * before was split over two reads.
 */
const HEAD_END = Buffer.from("\n\r\n");
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
/** Memory that each read of the input takes, however short it is. */
const MIN_READ_BYTES = 512;
/** Time without input after which a connection may be closed for a new one. */
const MIN_IDLE_MS = 1_000;

/**
 * Connections beyond the limit that are open until their first request is
 * refused.
 */
const MAX_SURPLUS_CONNECTIONS = 64;
/** Time that such a connection has for its first request. */
const SURPLUS_REQUEST_MS = 1_000;

/** A socket, with the runtime's mark that it waits until answers are sent. */
type HttpSocket = Socket & { _paused?: boolean };

/** The input of one connection. */
interface Intake extends BudgetedConnection {
  readonly connection: Connection;
  /** When input was last received. */
  readonly activeAt: number;
}

/** Input of a connection that is not parsed yet. */
function createUnparsedInput() {
  /** What was read, in order; `offset` bytes of the first are parsed. */
  let reads: Buffer[] = [];
  let offset = 0;
  let bytes = 0;
  return {
    get isEmpty() {
      return reads.length === 0;
    },
    /** Memory that it takes. */
    get bytes() {
      return bytes;
    },
    push(read: Buffer): void {
      reads.push(read);
      bytes += Math.max(read.length, MIN_READ_BYTES);
    },
    /** Takes the input up to the end of the next head. */
    takePart(): Buffer {
      const [first] = reads;
      const index = first.indexOf(HEAD_END, offset);
      const end = index < 0 ? first.length : index + HEAD_END.length;
      const part = first.subarray(offset, end);
      offset = end;
      if (end === first.length) {
        reads.shift();
        offset = 0;
        bytes -= Math.max(first.length, MIN_READ_BYTES);
      }
      return part;
    },
    clear(): void {
      reads = [];
      offset = 0;
      bytes = 0;
    },
  };
}

function createIntake(
  connection: Connection,
  { parse, budget }: { parse: (part: Buffer) => void; budget: ClientBudget },
): Intake {
  const { limits } = budget;
  const socket: HttpSocket = connection.socket;
  const unparsed = createUnparsedInput();
  let discardedBytes = 0;
  let parsing = false;
  let paused = false;
  let activeAt = performance.now();
  /** Turn of the event loop in which the latest part was parsed. */
  let parsedInTurn = -1;
  let waitsForTurn = false;
  /** Whether the parser has a part of a head, whose time limit runs. */
  let headBegun = false;

  /** Whether a part may be parsed in this turn; otherwise waits for the next. */
  function takeTurn(): boolean {
    if (parsedInTurn !== budget.turn || budget.takeAhead()) {
      parsedInTurn = budget.turn;
      return true;
    }
    if (!waitsForTurn) {
      waitsForTurn = true;
      budget.onNextTurn(() => {
        waitsForTurn = false;
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
      parseUnparsed();
    } finally {
      parsing = false;
    }
    updatePause();
  }

  socket.on("data", (read: Buffer) => {
    activeAt = performance.now();
    unparsed.push(read);
    budget.requestCheck();
    processBufferCollector.note(read.length);
    proceed();
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
      return unparsed.bytes + socket.readableLength + connection.unsentBytes;
    },
    get sentBytes() {
      return socket.bytesWritten - socket.writableLength;
    },
    get ahead() {
      return !unparsed.isEmpty || connection.pending > 1;
    },
    shed() {
      const { unsentBytes, receiving } = connection;
      // What follows a dropped part of a body would be taken for that part.
      const cutsBody = receiving && !unparsed.isEmpty;
      unparsed.clear();
      if (unsentBytes > 0 || socket.readableLength > 0 || cutsBody) {
        socket.destroy();
        return;
      }
      connection.refuseRequests();
      connection.afterResponses(() => socket.destroySoon());
      updatePause();
    },
  };
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
): void {
  const intakes = new Map<Socket, Intake>();

  /** The connection that is closed for a new one, if one may be. */
  function findReplaceable(): Intake | undefined {
    const latest = performance.now() - MIN_IDLE_MS;
    let found: Intake | undefined;
    for (const intake of intakes.values()) {
      const { connection, activeAt } = intake;
      if (connection.idle && activeAt < (found?.activeAt ?? latest)) {
        found = intake;
      }
    }
    return found;
  }

  /**
   * Makes room for a new connection. With no idle one to close, the first request
   * of the new one is refused, so that its client learns when to come back.
   */
  function makeRoom(connection: Connection): void {
    const replaceable = findReplaceable();
    if (replaceable) {
      replaceable.connection.socket.destroy();
      return;
    }
    connection.markSurplus();
    setTimeout(() => {
      if (connection.unused) {
        connection.socket.destroy();
      }
    }, SURPLUS_REQUEST_MS).unref();
    const surplus = [...connectionsOfServer(server).open]
      .filter((one) => one.surplus);
    if (surplus.length > MAX_SURPLUS_CONNECTIONS) {
      (surplus.find((one) => one.unused) ?? connection).socket.destroy();
    }
  }

  server.on("connection", (socket: Socket) => {
    const connection = connectionOfSocket(socket);
    const [parse] = socket.listeners("data") as ((part: Buffer) => void)[];
    if (!connection || !parse) {
      return;
    }
    if (connectionsOfServer(server).open.size > maxConnections) {
      makeRoom(connection);
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
}
