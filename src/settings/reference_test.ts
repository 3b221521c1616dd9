import { readFileSync } from "node:fs";
import { test } from "tap";
import { settingsReference } from "./reference.ts";

test("docs/settings.md is what the schemas say", (t) => {
  const file = new URL("../../../docs/settings.md", import.meta.url);
  t.equal(readFileSync(file, "utf8"), settingsReference());
  t.end();
});
