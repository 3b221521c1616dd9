import { test } from "tap";
import { createLogSink } from "./log_sink.ts";

function slowWriter() {
  const written: string[] = [];
  const releases: (() => void)[] = [];
  return {
    written,
    write(bytes: Buffer): Promise<void> {
      written.push(bytes.toString());
      return new Promise((resolve) => releases.push(resolve));
    },
    release: () => releases.shift()?.(),
  };
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("a sink without a reader queues a bounded number of bytes and never waits", async (t) => {
  const output = slowWriter();
  const sink = createLogSink({ write: output.write, capacityBytes: 1_000 });
  for (let count = 0; count < 10_000; count++) {
    sink.write(`line=${count}`);
  }
  await nextTurn();
  for (let count = 0; count < 10_000; count++) {
    sink.write(`late=${count}`);
  }
  t.equal(output.written.length, 1, "one write is in flight");
  t.ok(output.written[0].length < 1_100);
  output.release();
  await nextTurn();
  t.match(output.written[1], /event=log\.dropped lines=\d+/);
  t.ok(output.written[1].length < 1_100);
  t.match(output.written[1], /^late=0\n/, "the queue accepts lines again");
});

test("lines are written in order, and a flush waits until they are written", async (t) => {
  const written: string[] = [];
  const sink = createLogSink({
    write: (bytes) => {
      written.push(bytes.toString());
      return Promise.resolve();
    },
  });
  sink.write("a=1");
  sink.write("b=2");
  await sink.flush(1_000);
  sink.write("c=3");
  await sink.flush(1_000);
  t.equal(written.join(""), "a=1\nb=2\nc=3\n");
});

test("a flush resolves after its timeout", async (t) => {
  const output = slowWriter();
  const sink = createLogSink({ write: output.write });
  sink.write("a=1");
  await sink.flush(5);
  t.equal(output.written.length, 1);
});
