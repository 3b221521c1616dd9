/**
 * Runs scenarios in worker threads: in parallel, and without the hooks that the
 * test runner installs on every promise.
 */
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import type { Scenario } from "./language.ts";
import { runScenario } from "./runner.ts";

interface RunRequest {
  scenario: Scenario;
  off: boolean;
}

/** A thread that runs one scenario at a time. */
export interface ScenarioWorker {
  /** Returns the violations that were found. */
  run(scenario: Scenario, options: { off: boolean }): Promise<string[]>;
}

/** Starts a scenario worker; it ends with the process. */
export function startScenarioWorker(): ScenarioWorker {
  const worker = new Worker(new URL(import.meta.url), {
    execArgv: ["--enable-source-maps"],
  });
  worker.unref();
  return {
    run(scenario, { off }) {
      return new Promise((resolve, reject) => {
        const onExit = (code: number): void =>
          reject(new Error(`the scenario worker exited with code ${code}`));
        worker.once("error", reject);
        worker.once("exit", onExit);
        worker.once("message", (violations: string[]) => {
          worker.off("error", reject);
          worker.off("exit", onExit);
          worker.unref();
          resolve(violations);
        });
        worker.ref();
        worker.postMessage({ scenario, off } satisfies RunRequest);
      });
    },
  };
}

if (!isMainThread) {
  parentPort!.on("message", async ({ scenario, off }: RunRequest) => {
    const { violations } = await runScenario(scenario, { off });
    parentPort!.postMessage(violations);
  });
}
