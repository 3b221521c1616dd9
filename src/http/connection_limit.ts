/**
 * The limit on the open connections of a server, and the choice of the one that is
 * closed for a new one. The load is clients that keep all of them: idle, with
 * requests ahead, with requests that never end, or with answers they do not read.
 * Other clients must still find a place.
 * @module
 */
import { performance } from "node:perf_hooks";
import type { Server } from "node:http";
import { type Connection, connectionsOfServer } from "./connections.ts";

/**
 * Connections beyond the limit that are open until their first request is
 * refused.
 */
const MAX_SURPLUS_CONNECTIONS = 64;
/** Time that such a connection has for its first request, in milliseconds. */
const SURPLUS_REQUEST_MS = 1_000;
/** Time without input after which an idle connection may be closed. */
const MIN_IDLE_MS = 1_000;

/** A connection, as the limit sees it. */
export interface ReplaceableConnection {
  readonly connection: Connection;
  /** When input was last received, on the clock of `now`. */
  readonly activeAt: number;
  /** Bytes that are held for it. */
  readonly heldBytes: number;
  /** Whether its client sends requests before the answers to earlier ones. */
  readonly sendsAhead: boolean;
  /** Whether a request on it has been coming too slowly for too long. */
  readonly isSlowSender: boolean;
  /** Whether its client has long taken no byte of what is held for it. */
  readonly isStuck: boolean;
}

/** Ways in which a connection is of less use than a new one, the first first. */
const GROUNDS: ((one: ReplaceableConnection, now: number) => boolean)[] = [
  ({ connection, activeAt }, now) =>
    connection.idle && activeAt < now - MIN_IDLE_MS,
  ({ sendsAhead }) => sendsAhead,
  ({ isSlowSender }) => isSlowSender,
  ({ isStuck }) => isStuck,
];

/**
 * The same for a connection that has no room and whose first request has come: it
 * is of more use than any that waits for a request, however briefly.
 */
const GROUNDS_WITH_REQUEST: typeof GROUNDS = [
  ({ connection }) => connection.idle,
  ...GROUNDS,
];

/** Whether a connection goes before another with the same ground. */
function goesBefore(
  one: ReplaceableConnection,
  other: ReplaceableConnection,
): boolean {
  return one.heldBytes === other.heldBytes
    ? one.activeAt < other.activeAt
    : one.heldBytes > other.heldBytes;
}

/**
 * Returns the connection to close for a new one, if one may be; `hasRequest` tells
 * whether the new one has brought a request.
 */
export function findReplaceable(
  connections: Iterable<ReplaceableConnection>,
  { now, hasRequest }: { now: number; hasRequest: boolean },
): ReplaceableConnection | undefined {
  const grounds = hasRequest ? GROUNDS_WITH_REQUEST : GROUNDS;
  let found: ReplaceableConnection | undefined;
  let foundGround = grounds.length;
  for (const one of connections) {
    const ground = grounds.findIndex((applies) => applies(one, now));
    const isBetter = ground === foundGround && found && goesBefore(one, found);
    if (ground >= 0 && (ground < foundGround || isBetter)) {
      found = one;
      foundGround = ground;
    }
  }
  return found;
}

/**
 * Makes room for one more connection, if there is none, by closing one of the others.
 * Returns whether there is room now.
 */
export function makeRoom(
  connections: readonly ReplaceableConnection[],
  { maxConnections, hasRequest }: {
    maxConnections: number;
    hasRequest: boolean;
  },
): boolean {
  const admitted = connections.filter(({ connection }) => !connection.surplus);
  if (admitted.length < maxConnections) {
    return true;
  }
  const now = performance.now();
  const replaceable = findReplaceable(admitted, { now, hasRequest });
  replaceable?.connection.socket.destroy();
  return replaceable !== undefined;
}

/**
 * Marks a connection for which there is no room: its first request is refused, so
 * that its client learns when to come back.
 */
export function admitSurplus(server: Server, connection: Connection): void {
  connection.setSurplus(true);
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
