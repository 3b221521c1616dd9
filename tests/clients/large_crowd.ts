/**
 * Crowds of more connections than a process allows, that behave badly in several
 * ways, and the checks that the process has to pass beside them. What its sockets
 * hold unread and unsent counts as its memory.
 * @module
 */
import { connect, type Socket } from "node:net";
import type { Test } from "tap";
import type { ClientLimits } from "../../src/http/client_limits.ts";
import { eventually } from "../processes.ts";
import { fetchStatusLine, type OrdinaryRequest } from "./crowd.ts";
import type { Site } from "./processes.ts";

const HOST = "127.0.0.1";
/** Time for which a crowd goes on. */
const CROWD_MS = 4_000;
/** Bytes that a client sends before it does anything else. */
const FIRST_BYTES = 64 * 1024;
/** Time after which a client whose connection was closed comes back. */
const RETURN_MS = 20;
/** Bytes that a system keeps for a connection that its process does not read. */
const SYSTEM_BYTES = 64 * 1024;
/** Memory of a process beside its sockets; see crowd.ts. */
const MAX_MEMORY_BYTES = 130 * 1024 * 1024;
/** Descriptors of a process that are no connections of a crowd. */
const OWN_DESCRIPTORS = 120;

/** Limits of the processes; the crowds exceed them. */
export const LOW_LIMITS: Partial<ClientLimits> = {
  max_connections: 64,
  max_other_connections: 16,
  max_buffered_bytes: 256 * 1024,
};

/** Connections that may have sent what the process has not got round to read. */
const CONNECTIONS_IN_TRANSIT = 16;
/** Most bytes that the sockets of a process may hold unread and unsent. */
const MAX_SOCKET_BYTES = CONNECTIONS_IN_TRANSIT * SYSTEM_BYTES + 256 * 1024;

/** What one client of a crowd does with a connection. */
export type Behaviour = (socket: Socket, bytes: Buffer) => void;

/** The ways in which clients misbehave. */
export const BEHAVIOURS: Record<string, Behaviour> = {
  "stay and read nothing"(socket, bytes) {
    function write(): void {
      while (!socket.destroyed && socket.write(bytes)) {
        // The next write goes on where the system takes more.
      }
    }
    socket.on("drain", write);
    write();
  },
  "leave and come back"(socket, bytes) {
    socket.write(bytes);
    setTimeout(() => socket.destroy(), 50);
  },
  "end their side at once"(socket, bytes) {
    socket.end(bytes);
  },
  "send in small parts"(socket, bytes) {
    let at = 0;
    const timer = setInterval(() => {
      for (let part = 0; part < 8; part++) {
        socket.write(bytes.subarray(at, at + 11));
        at = at + 11 < bytes.length ? at + 11 : 0;
      }
    }, 5);
    socket.once("close", () => clearInterval(timer));
  },
  "never end a request"(socket, bytes) {
    let at = 0;
    const timer = setInterval(() => {
      socket.write(bytes.subarray(at, at + 1));
      at = Math.min(at + 1, bytes.indexOf("\n"));
    }, 100);
    socket.once("close", () => clearInterval(timer));
  },
};

/** Starts a crowd; returns a function that ends it. */
export function startLargeCrowd(
  port: number,
  { request, behaviour, connections }: {
    request: string;
    behaviour: Behaviour;
    connections: number;
  },
): () => void {
  const bytes = Buffer.from(
    request.repeat(Math.ceil(FIRST_BYTES / request.length)),
  );
  const sockets = new Set<Socket>();
  let present = true;
  function join(): void {
    if (!present) {
      return;
    }
    const socket = connect(port, HOST);
    sockets.add(socket);
    socket.pause();
    socket.on("error", () => {});
    socket.once("close", () => {
      sockets.delete(socket);
      setTimeout(join, RETURN_MS);
    });
    socket.once("connect", () => behaviour(socket, bytes));
  }
  for (let index = 0; index < connections; index++) {
    join();
  }
  return () => {
    present = false;
    sockets.forEach((socket) => socket.destroy());
  };
}

/** A crowd at one port of a process. */
export interface LargeCrowd {
  process: "node" | "control";
  port: string;
  request: string;
  behaviour: keyof typeof BEHAVIOURS;
  connections: number;
  /** A request of another client at the same port. */
  ordinary: OrdinaryRequest;
}

/**
 * Lets a crowd do what it does, and checks that the process lives within its
 * bounds and answers an ordinary request beside the crowd and after it.
 */
export async function checkLargeCrowd(
  t: Test,
  site: Site,
  crowd: LargeCrowd,
): Promise<void> {
  const process = site[crowd.process];
  const { ordinary } = crowd;
  process.resetPeak();
  const leave = startLargeCrowd(site.ports[crowd.port], {
    ...crowd,
    behaviour: BEHAVIOURS[crowd.behaviour],
  });
  let line = "";
  async function isAnswered(): Promise<boolean> {
    line = await fetchStatusLine(site.ports[ordinary.port], ordinary.request);
    return line.startsWith(`HTTP/1.1 ${ordinary.status}`) || !process.alive;
  }
  async function checkAnswer(name: string): Promise<void> {
    const error = await eventually(name, isAnswered).then(
      () => undefined,
      String,
    );
    t.ok(process.alive && !error, `${name}: ${line}`);
  }
  try {
    const until = Date.now() + CROWD_MS;
    let descriptors = 0;
    let socketBytes = 0;
    while (Date.now() < until && process.alive) {
      descriptors = Math.max(descriptors, process.descriptors());
      socketBytes = Math.max(socketBytes, process.socketBytes());
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    if (!process.alive) {
      t.fail("the process lives", { output: process.output().slice(-600) });
      return;
    }
    const memory = process.peakBytes();
    t.ok(memory < MAX_MEMORY_BYTES, `memory: ${memory}`);
    t.ok(socketBytes < MAX_SOCKET_BYTES, `in sockets: ${socketBytes}`);
    t.ok(
      descriptors < crowd.connections + OWN_DESCRIPTORS,
      `descriptors: ${descriptors}`,
    );
    await checkAnswer("an ordinary request beside the crowd");
  } finally {
    leave();
  }
  await checkAnswer("an ordinary request after the crowd");
}
