import { test } from "tap";
import {
  createSnapshotAssembler,
  type SnapshotChunk,
} from "./snapshot_assembler.ts";

function chunk(
  index: number,
  offset: number,
  text: string,
  last = false,
): SnapshotChunk {
  return { index, offset, bytes: Buffer.from(text), last };
}

test("chunks in order are assembled into the snapshot", (t) => {
  const assembler = createSnapshotAssembler();
  t.match(assembler.add(chunk(7, 0, "ab")), {
    received: 2,
    assembled: undefined,
  });
  const { assembled } = assembler.add(chunk(7, 2, "cd", true));
  t.equal(Buffer.from(assembled ?? []).toString(), "abcd");
  t.end();
});

test("a duplicate, a late chunk and one of another snapshot are dropped", (t) => {
  const assembler = createSnapshotAssembler();
  assembler.add(chunk(7, 0, "ab"));
  assembler.add(chunk(7, 2, "cd"));
  t.match(assembler.add(chunk(7, 2, "cd")), {
    received: 4,
    assembled: undefined,
  });
  t.match(assembler.add(chunk(5, 4, "zz", true)), {
    received: 0,
    assembled: undefined,
  });
  const { assembled } = assembler.add(chunk(7, 4, "ef", true));
  t.equal(Buffer.from(assembled ?? []).toString(), "abcdef");
  t.match(assembler.add(chunk(7, 4, "ef", true)), { assembled: undefined });
  t.end();
});
