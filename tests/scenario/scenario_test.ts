import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { test } from "tap";
import { scenarioSchema } from "./language.ts";
import { runScenario } from "./runner.ts";

const FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  "../../../scenarios",
);
const only = process.env.SCENARIO ?? "";
const files = readdirSync(FOLDER)
  .filter((file) => file.endsWith(".toml") && file.includes(only))
  .sort();

for (const file of files) {
  const text = readFileSync(join(FOLDER, file), "utf8");
  const scenario = scenarioSchema.parse(parse(text));

  test(`${file}: ${scenario.name}`, async (t) => {
    const kept = await runScenario(scenario, { off: false });
    t.same(kept.broken, [], "everything holds");
    const without = await runScenario(scenario, { off: true });
    t.not(without.broken.length, 0, "it fails with its mechanism off");
    t.comment(`without: ${without.broken.slice(0, 3).join("; ")}`);
  });
}
