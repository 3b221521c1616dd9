/**
 * Runs the scenarios of scenarios/, with what each is about and without it. They
 * are shared out to test files by the first letter of their names, as the test
 * runner bounds the time of a file.
 */
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

/** Names of the scenarios' files from one first letter to another. */
function filesOf(first: string, last: string): string[] {
  const only = process.env.SCENARIO ?? "";
  const files = readdirSync(FOLDER).filter((file) => file.endsWith(".toml"));
  const lost = files.find((file) => !/^[a-z]/.test(file));
  if (lost) throw new Error(`no test file runs ${lost}`);
  return files
    .filter((file) => file[0] >= first && file[0] <= last)
    .filter((file) => file.includes(only))
    .sort();
}

/** Declares a test for each scenario from one first letter to another. */
export function testScenarios(first: string, last: string): void {
  const withMechanism = startScenarioWorker();
  const withoutIt = startScenarioWorker();
  for (const file of filesOf(first, last)) {
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
}
