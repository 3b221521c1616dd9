import { test } from "tap";
import {
  findReplaceable,
  makeRoom,
  type ReplaceableConnection,
} from "./connection_limit.ts";
import type { Connection } from "./connections.ts";

const NOW = 100_000;

interface Sketch extends Partial<Omit<ReplaceableConnection, "connection">> {
  idle?: boolean;
}

/** Returns the index of the connection that is closed for a new one. */
function choose(...sketches: Sketch[]): number {
  return chooseFor({ hasRequest: false }, sketches);
}

function chooseFor(
  options: { hasRequest: boolean },
  sketches: Sketch[],
): number {
  const connections = sketches.map(({ idle = false, ...sketch }) => ({
    connection: { idle } as Connection,
    activeAt: NOW,
    heldBytes: 0,
    sendsAhead: false,
    isSlowSender: false,
    isStuck: false,
    ...sketch,
  }));
  const found = findReplaceable(connections, { now: NOW, ...options });
  return found ? connections.indexOf(found) : -1;
}

test("a connection that is used is not closed for a new one", (t) => {
  t.equal(choose(), -1);
  t.equal(choose({}, { heldBytes: 1_000_000 }), -1);
  t.equal(choose({ idle: true, activeAt: NOW - 900 }), -1, "idle just now");
  t.end();
});

test("a client whose request has come is served before one that waits", (t) => {
  const waiting = [{}, { idle: true, activeAt: NOW - 10 }];
  t.equal(chooseFor({ hasRequest: true }, waiting), 1);
  t.equal(chooseFor({ hasRequest: true }, [{}]), -1, "all are used");
  t.end();
});

test("the one that has been idle longest goes first", (t) => {
  t.equal(
    choose(
      { sendsAhead: true, heldBytes: 1_000_000 },
      { idle: true, activeAt: NOW - 2_000 },
      { idle: true, activeAt: NOW - 9_000 },
      { isSlowSender: true },
    ),
    2,
  );
  t.end();
});

test("with none idle, a client that misbehaves gives way", (t) => {
  t.equal(choose({}, { isStuck: true }), 1);
  t.equal(choose({ isStuck: true }, { isSlowSender: true }), 1);
  t.equal(choose({ isSlowSender: true }, { sendsAhead: true }), 1);
  t.equal(
    choose({ sendsAhead: true, heldBytes: 1 }, {
      sendsAhead: true,
      heldBytes: 2,
    }),
    1,
    "the one that holds most",
  );
  t.end();
});

test("connections that wait to be refused take no places", (t) => {
  let closed = 0;
  const sketch = (surplus: boolean, idle: boolean) => ({
    connection: {
      idle,
      surplus,
      socket: { destroy: () => void closed++ },
    } as unknown as Connection,
    activeAt: 0,
    heldBytes: 0,
    sendsAhead: false,
    isSlowSender: false,
    isStuck: false,
  });
  const options = { maxConnections: 2, hasRequest: true };
  const surplus = [sketch(true, true), sketch(true, true), sketch(true, true)];
  t.equal(makeRoom([...surplus, sketch(false, false)], options), true);
  t.equal(closed, 0, "there is a place");
  const busy = [sketch(false, false), sketch(false, false)];
  t.equal(makeRoom([...surplus, ...busy], options), false);
  const waiting = [sketch(false, false), sketch(false, true)];
  t.equal(makeRoom([...surplus, ...waiting], options), true);
  t.equal(closed, 1, "one of those that have places gives way");
  t.end();
});
