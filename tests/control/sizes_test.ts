/**
 * Limits on the size of messages and of stored snapshots.
 */
import { test } from "tap";
import { openFakeLog } from "../../src/control/fake_log.ts";
import { fakeReplica } from "../../src/control/fake_replica.ts";
import { createLogStore } from "../../src/control/log_store.ts";
import { appendMethod } from "../../src/control/methods.ts";
import { createFakeDisk } from "../../src/disk/fake_disk.ts";
import { createGrpcRpc } from "../../src/rpc/grpc_rpc.ts";

const MEBIBYTE = 1 << 20;
/** Largest body of a change that the administration API accepts. */
const LARGEST_CHANGE_BYTES = 4 * MEBIBYTE;
const CALL_TIMEOUT_MS = 20_000;

test("a batch of entries with large changes fits into one call to a follower", async (t) => {
  const log = await openFakeLog();
  for (let count = 0; count < 5; count++) {
    const document = "x".repeat(LARGEST_CHANGE_BYTES);
    log.append({ term: 1, logTime: 0, command: { document } });
  }
  await log.idle();
  const [peer, rpc] = [createGrpcRpc(), createGrpcRpc()];
  peer.handle(appendMethod, ({ entries }) =>
    Promise.resolve({
      term: 1,
      accepted: true,
      lastIndex: entries.at(-1)?.index ?? 0,
    }));
  const address = await peer.listen("127.0.0.1:0");
  const reply = await rpc.call({
    peer: address,
    method: appendMethod,
    request: {
      to: "b",
      term: 1,
      leader: fakeReplica("a"),
      previousIndex: 0,
      previousTerm: 0,
      entries: log.batchFrom(1),
      commitIndex: 0,
      marks: [],
    },
    timeoutMs: CALL_TIMEOUT_MS,
  });
  await rpc.close();
  await peer.close();
  t.ok(reply.isOk(), reply.isErr() ? reply.error.message : "");
});

test("a snapshot of any size is either refused on saving or read back whole", async (t) => {
  const store = createLogStore(createFakeDisk());
  const state = new Uint8Array(65 * MEBIBYTE);
  const snapshot = {
    index: 1,
    term: 1,
    logTime: 0,
    membership: { voters: [], learners: [] },
    state,
  };
  let refused = false;
  await store.saveSnapshot(snapshot).catch(() => {
    refused = true;
  });
  const read = await store.recover().then(
    (recovered) => recovered.snapshot?.state.length,
    (error) => String(error),
  );
  t.ok(refused || read === state.length, `read: ${read}`);
});
