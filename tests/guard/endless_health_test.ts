/**
 * Health checks whose answers have no end fail within bounds of bytes and time,
 * and their connections are closed.
 */
import { test } from "tap";
import { silentLogger } from "../../src/core/logger.ts";
import { createHttpBackend } from "../../src/guard/http_backend.ts";
import { createServerLink } from "../../src/guard/server_link.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";
import { eventually } from "../processes.ts";
import { type RawConnection, startRawServer } from "./raw_server.ts";

const FLOOD = "no answer ";

/** A link to a server that was announced, in fake time. */
async function startLink(answer: (connection: RawConnection) => void) {
  const server = await startRawServer(answer);
  const timer = createFakeTimer();
  const link = createServerLink({
    timer,
    logger: silentLogger,
    createBackend: createHttpBackend,
    connections: () => 1,
    healthPath: () => undefined,
    onCold: () => {},
    onReport: () => {},
  });
  const announcement = {
    service: "work",
    address: server.address,
    boot: "one",
    sequence: 1,
    healthPath: "/health",
  };
  link.announce(announcement);
  return { server, timer, link, announcement };
}

type Link = Awaited<ReturnType<typeof startLink>>;
const CHECKS: [string, (lab: Link) => Promise<boolean>][] = [
  ["a health check", ({ link }) => link.probe()],
  ["a first contact", ({ link, announcement }) => link.finds(announcement)],
];
for (const [what, check] of CHECKS) {
  test(`${what} whose body has no end fails by its bytes`, async (t) => {
    const lab = await startLink((connection) => {
      connection.write("HTTP/1.1 200 OK\r\n\r\n");
      connection.flood(FLOOD);
    });
    t.teardown(lab.server.close);
    t.notOk(await check(lab), "though no time has passed");
    await eventually("it is closed", () => lab.server.connections[0].closed);
  });

  test(`${what} whose body comes now and then fails by its time`, async (t) => {
    const lab = await startLink((connection) =>
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na")
    );
    t.teardown(lab.server.close);
    const checking = check(lab);
    await eventually(
      "it has answered",
      () => (lab.server.connections[0]?.written ?? 0) > 0,
    );
    await lab.timer.advance(200);
    lab.server.connections[0].write("a");
    await lab.timer.advance(200);
    t.notOk(await checking);
    await eventually("it is closed", () => lab.server.connections[0].closed);
  });
}
