/**
 * Loaded into each test file's process: gives a crash an exit status of its own,
 * so that it can't be taken for the failing of a test.
 */
import { CRASH_STATUS } from "./verdict.ts";

process.on("uncaughtExceptionMonitor", () => {
  // The runner sets its own status as the process ends; this comes after it.
  process.on("exit", () => {
    process.exitCode = CRASH_STATUS;
  });
});
