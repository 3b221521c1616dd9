import { test } from "tap";
import { silentLogger } from "../core/logger.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createSeededRandom } from "../core/random.ts";
import { type Archive, createArchive } from "./archive.ts";
import { createRecorder, type Event } from "./events.ts";
import { renderAccountPage } from "./page.ts";
import { countByInterval, describeEvent } from "./report.ts";

function recorderWith(capacity: number) {
  return createRecorder({
    source: "vm1",
    timer: createFakeTimer(0),
    version: () => 7,
    capacity,
  });
}

function eventAt(wallTime: number, more: Partial<Event> = {}): Event {
  const recorder = recorderWith(1);
  recorder.record({ kind: "refused", ...more });
  return { ...recorder.events()[0], wallTime };
}

test("events that are dropped before delivery are counted", (t) => {
  const recorder = recorderWith(8);
  for (let count = 0; count < 20; count++) {
    recorder.record({ kind: "refused", requestId: `r${count}` });
  }
  const taken = recorder.take(100);
  t.equal(taken.length + recorder.dropped, 20);
  t.ok(recorder.dropped > 0);
  recorder.requeue(taken);
  t.equal(recorder.take(100).length, taken.length);
  t.end();
});

test("an archive finds recent events and drops the oldest beyond its limit", async (t) => {
  const timer = createFakeTimer();
  const archive = createArchive({
    disk: createFakeDisk(),
    logger: silentLogger,
    timer,
    segmentBytes: 2_000,
  });
  for (let count = 0; count < 60; count++) {
    const added = archive.add([eventAt(count, { requestId: `r${count}` })]);
    await timer.advance(1_000);
    await added;
  }
  t.match(await archive.find({ requestId: "r59" }), [{ requestId: "r59" }]);
  t.same(await archive.find({ requestId: "r0" }), [], "the oldest are dropped");
  t.ok(archive.dropped > 0, "dropped events are counted");
  const found = await archive.find({ since: 50, until: 52 });
  t.same(found.map((event) => event.wallTime), [50, 51, 52]);
});

test("events after a write that a full disk cut short are found", async (t) => {
  const disk = createFakeDisk();
  const timer = createFakeTimer();
  async function add(archive: Archive, requestId: string): Promise<void> {
    const added = archive.add([eventAt(1, { requestId })]);
    await timer.advance(1_000);
    await added;
  }
  const open = () =>
    createArchive({ disk, logger: silentLogger, timer, segmentBytes: 10_000 });
  const archive = open();
  await add(archive, "before");
  for (let seed = 1; seed < 6; seed++) {
    disk.fill(createSeededRandom(seed));
    await add(archive, "lost");
    disk.clearFailure();
    await add(archive, "after");
  }
  const requestIds = (await archive.find({})).map((one) => one.requestId);
  t.same(requestIds, ["before", "after", "after", "after", "after", "after"]);

  disk.fill(createSeededRandom(9));
  await add(archive, "lost");
  disk.clearFailure();
  const restarted = open();
  await add(restarted, "restarted");
  t.same((await restarted.find({})).at(-1)?.requestId, "restarted");
});

test("a start with a full segment lets other tasks run", async (t) => {
  const disk = createFakeDisk();
  const timer = createFakeTimer();
  const open = () =>
    createArchive({ disk, logger: silentLogger, timer, segmentBytes: 1 << 24 });
  const cause = "x".repeat(1_000);
  const events = Array.from(
    { length: 3_000 },
    (_, index) => eventAt(index, { cause }),
  );
  const first = open().add(events);
  await timer.advance(1_000);
  await first;
  let turns = 0;
  const counting = setInterval(() => turns++, 0);
  t.teardown(() => clearInterval(counting));
  const second = open().add([eventAt(9_999)]);
  await timer.advance(1_000);
  await second;
  t.ok(turns > 10, `${turns} turns of the event loop`);
  t.equal((await open().find({ since: 9_999 })).length, 1);
});

test("a failed write counts its events as dropped and does not reject", async (t) => {
  const disk = createFakeDisk();
  disk.failFrom(1, "no space left on device");
  const timer = createFakeTimer();
  const archive = createArchive({
    disk,
    logger: silentLogger,
    timer,
    segmentBytes: 2_000,
  });
  const added = archive.add([eventAt(1), eventAt(2)]);
  await timer.advance(1_000);
  await added;
  t.equal(archive.dropped, 2);
});

test("failed writes to a full disk are logged about twice a second", async (t) => {
  const disk = createFakeDisk();
  disk.failFrom(1, "no space left on device");
  let lines = 0;
  const timer = createFakeTimer();
  const archive = createArchive({
    disk,
    logger: { ...silentLogger, error: () => lines++ },
    timer,
    segmentBytes: 2_000,
  });
  for (let count = 0; count < 400; count++) {
    void archive.add([eventAt(count)]);
    await timer.advance(10);
  }
  await timer.advance(1_000);
  t.ok(lines <= 9, `${lines} lines in 4 s`);
  t.equal(archive.dropped, 400);
});

test("an event is described in one line", (t) => {
  const line = describeEvent(eventAt(0, {
    requestId: "r1",
    server: "vm2",
    outcome: "not_run",
    cause: "cold",
  }));
  t.equal(
    line,
    "1970-01-01T00:00:00.000Z vm1 v7 refused request r1 at vm2 -> not_run (cold)",
  );
  t.end();
});

test("a page reports dropped events and escapes text from callers", (t) => {
  const page = renderAccountPage({
    events: [eventAt(0, { requestId: "<script>" }), eventAt(100)],
    changes: [],
    dropped: 3,
    missing: [],
  });
  t.match(page, /3 events were dropped/);
  t.match(page, /&lt;script&gt;/);
  t.notMatch(page, /<script>/);
  t.same(countByInterval([], 10), []);
  t.end();
});
