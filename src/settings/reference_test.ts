import { readFileSync } from "node:fs";
import { test } from "tap";
import { formatSettingsReference } from "./reference.ts";

test("docs/settings.md matches the schemas", (t) => {
  const file = new URL("../../../docs/settings.md", import.meta.url);
  t.equal(readFileSync(file, "utf8"), formatSettingsReference());
  t.end();
});
