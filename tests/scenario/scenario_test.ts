import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { test } from "tap";
import { scenarioSchema } from "./language.ts";
import { startScenarioWorker } from "./scenario_worker.ts";

const FOLDER = join(
  dirname(fileURLToPath(import.meta.url)),
  "../../../scenarios",
);
const only = process.env.SCENARIO ?? "";
const files = readdirSync(FOLDER)
  .filter((file) => file.endsWith(".toml") && file.includes(only))
  .sort();

const withMechanism = startScenarioWorker();
const withoutIt = startScenarioWorker();

for (const file of files) {
  const text = readFileSync(join(FOLDER, file), "utf8");
  const scenario = scenarioSchema.parse(parse(text));

  test(`${file}: ${scenario.name}`, async (t) => {
    const [kept, without] = await Promise.all([
      withMechanism.run(scenario, { off: false }),
      withoutIt.run(scenario, { off: true }),
    ]);
    t.same(kept, [], "everything holds");
    t.not(without.length, 0, "it fails with its mechanism off");
    t.comment(`without: ${without.slice(0, 3).join("; ")}`);
  });
}
