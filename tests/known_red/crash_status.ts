/**
 * Loaded into each test file's process: gives crashes an exit status of their
 * own, which tells them from failed tests.
 */
import { CRASH_STATUS } from "./verdict.ts";

process.on("uncaughtExceptionMonitor", () => {
  // Registered last, this listener runs after the test runner's own, which
  // sets another status.
  process.on("exit", () => {
    process.exitCode = CRASH_STATUS;
  });
});
