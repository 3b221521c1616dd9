import { test } from "tap";
import {
  createBufferCollector,
  MINOR_INTERVAL_BYTES,
  MINORS_PER_MAJOR,
} from "./buffer_collector.ts";

test("garbage is collected by the bytes of buffers", (t) => {
  const types: string[] = [];
  const collector = createBufferCollector(({ type }) => types.push(type));
  collector.note(MINOR_INTERVAL_BYTES - 1);
  t.same(types, []);
  collector.note(1);
  t.same(types, ["minor"]);
  for (let count = 1; count < 2 * MINORS_PER_MAJOR; count++) {
    collector.note(MINOR_INTERVAL_BYTES);
  }
  t.equal(types.length, 2 * MINORS_PER_MAJOR);
  t.equal(types.filter((type) => type === "major").length, 2);
  t.equal(types[MINORS_PER_MAJOR - 1], "major");
  t.end();
});

test("without a way to collect garbage, nothing happens", (t) => {
  createBufferCollector(undefined).note(10 * MINOR_INTERVAL_BYTES);
  t.pass("no error");
  t.end();
});
