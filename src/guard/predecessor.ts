/**
 * What a cold backend server may have received from an earlier guard of its VM
 * within the last second. After a restart of all machines, servers are new too,
 * and a guard that waited for nothing would use their whole cold rate at once.
 * @module
 */
import type { Member } from "../control/commands.ts";
import type { Announcement } from "./server_link.ts";

/** An earlier guard of the VM, as far as this guard knows of one. */
export interface Predecessor {
  /** Applies the registration that an earlier guard made, from control. */
  learnRegistered(registered: Pick<Member, "boot" | "incarnation">): void;
  /**
   * Share of the server's cold rate that no earlier guard can have used up, for
   * the second after this guard's start.
   */
  unusedShare(announced: Announcement | undefined): number;
}

/**
 * Share that is used while an earlier guard may have served this run of the
 * server without having registered it. Both guards together then start no more
 * than 1.5 times the rate, which cold servers have to bear.
 */
const UNREGISTERED_RUN_SHARE = 0.5;

/** Creates what is known of the predecessor of a guard that starts now. */
export function createPredecessor(
  guard: { incarnation: string; startedAt: number },
): Predecessor {
  let registeredBoot: string | undefined;

  return {
    learnRegistered({ boot, incarnation }) {
      if (incarnation !== guard.incarnation) {
        registeredBoot = boot;
      }
    },
    unusedShare(announced) {
      if (!announced || announced.boot === registeredBoot) {
        return 0;
      }
      const { startedAt = -Infinity } = announced;
      if (startedAt >= guard.startedAt) {
        return 1;
      }
      return registeredBoot === undefined ? 0 : UNREGISTERED_RUN_SHARE;
    },
  };
}
