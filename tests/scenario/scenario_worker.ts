/**
 * Runs scenarios in a thread of their own: beside each other, and apart from the
 * test runner's hooks on each promise.
 */
import { isMainThread, parentPort, Worker } from "node:worker_threads";
import type { Scenario } from "./language.ts";
import { runScenario } from "./runner.ts";

interface Order {
  scenario: Scenario;
  off: boolean;
}

/** Runs one scenario at a time. */
export interface ScenarioWorker {
  /** Returns what was found broken. */
  run(scenario: Scenario, options: { off: boolean }): Promise<string[]>;
}

/** Starts a thread that runs scenarios; it ends with the process. */
export function startScenarioWorker(): ScenarioWorker {
  const worker = new Worker(new URL(import.meta.url), {
    execArgv: ["--enable-source-maps"],
  });
  worker.unref();
  return {
    run(scenario, { off }) {
      return new Promise((resolve, reject) => {
        const onExit = (code: number): void =>
          reject(new Error(`the scenario's thread ended with ${code}`));
        worker.once("error", reject);
        worker.once("exit", onExit);
        worker.once("message", (broken: string[]) => {
          worker.off("error", reject);
          worker.off("exit", onExit);
          worker.unref();
          resolve(broken);
        });
        worker.ref();
        worker.postMessage({ scenario, off } satisfies Order);
      });
    },
  };
}

if (!isMainThread) {
  parentPort!.on("message", async ({ scenario, off }: Order) => {
    const { broken } = await runScenario(scenario, { off });
    parentPort!.postMessage(broken);
  });
}
