/**
 * Output and exit codes of the commands.
 * @module
 */
import type { BaseContext } from "clipanion";
import {
  formatSettingsError,
  type SettingsError,
} from "../settings/settings_error.ts";

/** Exit codes that scripts can rely on. */
export const EXIT = {
  /** The command succeeded. */
  ok: 0,
  /** Any failure that has no other code. */
  failed: 1,
  /** A settings file or an argument is invalid. */
  invalid: 2,
  /** The change conflicts with one that was accepted earlier. */
  conflict: 3,
  /** Control refused the change or the token. */
  refused: 4,
  /** No control replica answered, or none had a quorum. */
  unavailable: 5,
} as const;

/** Prints each settings error on a line and returns the exit code. */
export function reportErrors(
  context: BaseContext,
  errors: readonly SettingsError[],
): number {
  for (const error of errors) {
    context.stderr.write(formatSettingsError(error) + "\n");
  }
  return EXIT.invalid;
}

/** Prints a value as JSON. */
export function printJson(context: BaseContext, value: unknown): void {
  context.stdout.write(JSON.stringify(value, null, 2) + "\n");
}

/** Prints rows with aligned columns. */
export function printTable(
  context: BaseContext,
  rows: readonly (readonly string[])[],
): void {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  for (const row of rows) {
    const line = row.map((cell, column) => cell.padEnd(widths[column]));
    context.stdout.write(line.join("  ").trimEnd() + "\n");
  }
}
