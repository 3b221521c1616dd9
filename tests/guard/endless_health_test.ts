/**
 * Guards against a backend server that answers a health check with an endless
 * body, or with one that arrives too slowly. The check must fail within a limit
 * in bytes and in time, and its connection must be closed.
 */
import { test } from "tap";
import { createFakeServerLink } from "../../src/guard/fake_server_link.ts";
import { eventually } from "../processes.ts";
import { type RawConnection, startRawServer } from "./raw_server.ts";

const ENDLESS_TEXT = "no answer ";

/** Starts a server and creates a link to it, in fake time. */
async function startSetup(answer: (connection: RawConnection) => void) {
  const server = await startRawServer(answer);
  return { server, ...createFakeServerLink(server.address) };
}

type TestSetup = Awaited<ReturnType<typeof startSetup>>;
const CHECKS: [string, (setup: TestSetup) => Promise<boolean>][] = [
  ["a health check", ({ link }) => link.probe()],
  [
    "the verification of a registered server",
    ({ link, announcement }) => link.verifyServer(announcement),
  ],
];
for (const [description, check] of CHECKS) {
  test(`${description} with an endless body fails at the byte limit`, async (t) => {
    const setup = await startSetup((connection) => {
      connection.write("HTTP/1.1 200 OK\r\n\r\n");
      connection.flood(ENDLESS_TEXT);
    });
    t.teardown(setup.server.close);
    t.notOk(
      await check(setup),
      "the check fails without any time having passed",
    );
    await eventually(
      "the connection is closed",
      () => setup.server.connections[0].closed,
    );
  });

  test(`${description} whose body arrives too slowly fails at its timeout`, async (t) => {
    const setup = await startSetup((connection) =>
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\na")
    );
    t.teardown(setup.server.close);
    const checking = check(setup);
    await eventually(
      "the server has answered",
      () => (setup.server.connections[0]?.bytesWritten ?? 0) > 0,
    );
    await setup.timer.advance(200);
    setup.server.connections[0].write("a");
    await setup.timer.advance(200);
    t.notOk(await checking);
    await eventually(
      "the connection is closed",
      () => setup.server.connections[0].closed,
    );
  });
}
