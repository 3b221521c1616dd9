import { test } from "tap";
import { createSnapshotParts, type SnapshotPart } from "./snapshot_parts.ts";

function part(
  index: number,
  offset: number,
  text: string,
  last = false,
): SnapshotPart {
  return { index, offset, bytes: Buffer.from(text), last };
}

test("parts in order make the whole", (t) => {
  const parts = createSnapshotParts();
  t.match(parts.add(part(7, 0, "ab")), { received: 2, whole: undefined });
  const { whole } = parts.add(part(7, 2, "cd", true));
  t.equal(Buffer.from(whole ?? []).toString(), "abcd");
  t.end();
});

test("a part that comes twice, late or for another snapshot is dropped", (t) => {
  const parts = createSnapshotParts();
  parts.add(part(7, 0, "ab"));
  parts.add(part(7, 2, "cd"));
  t.match(parts.add(part(7, 2, "cd")), { received: 4, whole: undefined });
  t.match(parts.add(part(5, 4, "zz", true)), { received: 0, whole: undefined });
  const { whole } = parts.add(part(7, 4, "ef", true));
  t.equal(Buffer.from(whole ?? []).toString(), "abcdef");
  t.match(parts.add(part(7, 4, "ef", true)), { whole: undefined });
  t.end();
});
