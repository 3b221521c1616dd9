/**
 * Runs each scenario of scenarios/ twice: with its mechanism under test and with
 * it disabled. The test files each run the scenarios of some first letters,
 * since the test runner limits the time of a file.
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

/** Returns the scenario files whose first letter is in a range. */
function filesOf(first: string, last: string): string[] {
  const filter = process.env.SCENARIO ?? "";
  const files = readdirSync(FOLDER).filter((file) => file.endsWith(".toml"));
  const unassigned = files.find((file) => !/^[a-z]/.test(file));
  if (unassigned) throw new Error(`no test file runs ${unassigned}`);
  return files
    .filter((file) => file[0] >= first && file[0] <= last)
    .filter((file) => file.includes(filter))
    .sort();
}

/** Declares a test for each scenario whose first letter is in a range. */
export function testScenarios(first: string, last: string): void {
  const enabledWorker = startScenarioWorker();
  const disabledWorker = startScenarioWorker();
  for (const file of filesOf(first, last)) {
    const text = readFileSync(join(FOLDER, file), "utf8");
    const scenario = scenarioSchema.parse(parse(text));
    test(`${file}: ${scenario.name}`, async (t) => {
      const [violations, violationsWhenDisabled] = await Promise.all([
        enabledWorker.run(scenario, { off: false }),
        disabledWorker.run(scenario, { off: true }),
      ]);
      t.same(violations, [], "all requirements hold");
      t.not(
        violationsWhenDisabled.length,
        0,
        "a requirement fails with the mechanism disabled",
      );
      t.comment(
        `violations with the mechanism disabled: ${
          violationsWhenDisabled.slice(0, 3).join("; ")
        }`,
      );
    });
  }
}
