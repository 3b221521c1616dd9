/**
 * The record of a case: one line for each thing that was sent, answered or run,
 * and the exit code that the issue asks for.
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { CannotRun, Fleet } from "./fleet.mjs";

const MAX_RUN_MS = 115_000;

export const TROUBLE = process.env.TROUBLE !== "0";

export class Record {
  #startedAt = Date.now();
  #lines = [];
  violations = [];

  note(text) {
    const seconds = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${text}`);
  }

  violation(text) {
    this.violations.push(text);
    this.note(`BROKEN: ${text}`);
  }

  write(folder) {
    writeFileSync(join(folder, "record.txt"), `${this.#lines.join("\n")}\n`);
  }
}

/**
 * Runs a case in a fleet of its own, writes `record.txt`, and exits with 1 if
 * the rule was broken, 0 if it held, and 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const record = new Record();
  const fleet = await Fleet.create();
  let code = 2;
  const limit = setTimeout(() => {
    record.note("the case took too long");
    void finish(2);
  }, MAX_RUN_MS);

  async function finish(exitCode) {
    clearTimeout(limit);
    await fleet.end();
    record.write(folder);
    process.stdout.write(
      `exit ${exitCode}: ${record.violations.length} breaks of the rule\n`,
    );
    process.exit(exitCode);
  }

  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => void finish(2));
  }
  record.note(TROUBLE ? "with the disruption" : "without the disruption");
  try {
    await play({ fleet, record });
    code = record.violations.length > 0 ? 1 : 0;
  } catch (error) {
    const known = error instanceof CannotRun;
    record.note(`could not run: ${known ? error.message : error.stack}`);
  }
  await finish(code);
}
