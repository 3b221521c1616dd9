/**
 * Follows whether an operator has withdrawn a guard's backend server or its failure
 * domain: attempts that wait are refused then, and the server warms up again when
 * it returns.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Logger } from "../core/logger.ts";
import type { Directory } from "../node/directory.ts";
import type { Admission } from "./admission.ts";
import type { ServerLink } from "./server_link.ts";
import type { ServerRates } from "./server_rates.ts";

/** Options of {@link createWithdrawalWatch}. */
export interface WithdrawalWatchOptions {
  vm: string;
  domain: string;
  directory: Directory;
  logger: Logger;
  recorder: Recorder;
  admission: Admission;
  rates: ServerRates;
  link: ServerLink;
}

/** Creates a watch; its result is to be called after each change of the view. */
export function createWithdrawalWatch(
  options: WithdrawalWatchOptions,
): () => void {
  const { vm, domain, directory, logger, recorder } = options;
  const { admission, rates, link } = options;
  let wasWithdrawn = false;

  function withdraw(): void {
    const reason = directory.isDomainWithdrawn(domain)
      ? "domain_out"
      : "server_out";
    admission.refuseWaiting(reason);
    recorder.record({ kind: "withdrawn", server: vm, domain, cause: reason });
    logger.info("guard.withdrawn", { domain });
  }

  function bringBack(): void {
    rates.warmup.reset();
    void link.probe();
    recorder.record({ kind: "returned", server: vm, domain });
    logger.info("guard.returned", { domain });
  }

  return () => {
    const withdrawn = directory.isDomainWithdrawn(domain) ||
      directory.isServerWithdrawn(vm);
    if (withdrawn === wasWithdrawn) {
      return;
    }
    wasWithdrawn = withdrawn;
    if (withdrawn) {
      withdraw();
    } else {
      bringBack();
    }
  };
}
