import { test } from "tap";
import { createSupervisor } from "../core/tasks.ts";
import { createFakeNetwork } from "../network/fake_network.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createPeerPool, type PeerPool } from "./peer_pool.ts";

const IDLE_PING_MS = 1_000;

interface Setup {
  timer: FakeTimer;
  pool: PeerPool;
  /** Addresses of peers that answer pings. */
  addresses: string[];
  /** Number of pings sent so far. */
  pings(): number;
  stop(): Promise<void>;
}

async function createSetup(peers: number): Promise<Setup> {
  const timer = createFakeTimer();
  const network = createFakeNetwork(timer, 1);
  const supervisor = createSupervisor({ timer, report: () => {} });
  const addresses = Array.from({ length: peers }, (_, n) => `peer${n}:1`);
  let pings = 0;
  for (const address of addresses) {
    await network.from(address.split(":")[0]).listen(address, (channel) => {
      void (async () => {
        while (await channel.receive()) {
          pings++;
          await channel.send({ kind: "pong" }).catch(() => {});
        }
      })();
    });
  }
  const pool = createPeerPool({
    network: network.from("own"),
    timer,
    supervisor,
    timeouts: () => ({
      connectMs: 250,
      silenceMs: 400,
      idlePingMs: IDLE_PING_MS,
    }),
  });
  return {
    timer,
    pool,
    addresses,
    pings: () => pings,
    async stop() {
      const stopped = supervisor.stop();
      await timer.advance(IDLE_PING_MS);
      await stopped;
    },
  };
}

/** Opens channels to a peer at the same time, and returns them to the pool. */
async function useAtOnce(setup: Setup, count: number): Promise<void> {
  const { pool, timer, addresses } = setup;
  const taking = Array.from({ length: count }, () => pool.take(addresses[0]));
  await timer.advance(10);
  (await Promise.all(taking)).forEach(pool.release);
}

test("channels that a burst has opened are closed soon", async (t) => {
  const setup = await createSetup(1);
  await useAtOnce(setup, 40);
  t.equal(setup.pool.idleCount(), 40);
  await setup.timer.advance(10_000);
  t.equal(setup.pool.idleCount(), 0);
  await setup.stop();
});

test("a channel in steady use stays open beside those of a burst", async (t) => {
  const setup = await createSetup(1);
  const { pool, timer, addresses } = setup;
  await useAtOnce(setup, 40);
  for (let second = 0; second < 10; second++) {
    await timer.advance(IDLE_PING_MS);
    const channel = await pool.take(addresses[0]);
    t.notOk(channel.closed);
    pool.release(channel);
  }
  t.equal(pool.idleCount(), 1);
  await setup.stop();
});

test("peers that were called once are not pinged for long", async (t) => {
  const peers = 100;
  const setup = await createSetup(peers);
  const { pool, timer, addresses } = setup;
  for (const address of addresses) {
    const taking = pool.take(address);
    await timer.advance(2);
    pool.release(await taking);
  }
  await timer.advance(60_000);
  t.equal(pool.idleCount(), 0);
  t.ok(setup.pings() <= 3 * peers, `${setup.pings()} pings of ${peers} peers`);
  await setup.stop();
});
