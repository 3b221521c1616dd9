/**
 * Registers the backend server of this VM with control and deregisters it when
 * it leaves.
 * @module
 */
import type { Member } from "../control/commands.ts";
import {
  leaveMethod,
  registerMethod,
  type Renewal,
} from "../control/node_methods.ts";
import type { Logger } from "../core/logger.ts";
import { createSerialQueue } from "../core/tasks.ts";
import type { Timer } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";

/** The registration of one backend server. */
export interface Registration {
  /** Returns the lease to renew, or `undefined` if nothing is registered. */
  renewal(): Renewal | undefined;
  /**
   * Applies the revision of the registration that control has of this VM, so
   * that the next one replaces it without being rejected first.
   */
  notePrevious(revision: number | undefined): void;
  /**
   * Registers the member or updates its registration, and resolves with whether
   * that succeeded. A call for a member whose registration is in progress joins
   * it: each announcement of the server causes a call.
   */
  register(member: Member): Promise<boolean>;
  /** Removes the registration, or gives up after `timeoutMs`. */
  leave(timeoutMs?: number): Promise<void>;
}

/** Options of {@link createRegistration}. */
export interface RegistrationOptions {
  client: ControlClient;
  timer: Timer;
  logger: Logger;
  /** Called when a newer incarnation has registered for this VM. */
  onSuperseded: () => void;
}

const REGISTRATION_TIMEOUT_MS = 5_000;

/** Creates the registration of a backend server that is not registered yet. */
export function createRegistration(
  options: RegistrationOptions,
): Registration {
  const { client, timer, logger } = options;
  const serial = createSerialQueue();
  let registered: Member | undefined;
  let previousRevision = 0;
  /** The newest registration in progress. */
  let pending: { key: string; result: Promise<boolean> } | undefined;

  async function registerNow(member: Member): Promise<boolean> {
    let expectedRevision = previousRevision;
    const deadlineAt = timer.now() + REGISTRATION_TIMEOUT_MS;
    while (timer.now() < deadlineAt) {
      const result = await client.callLeader(registerMethod, {
        request: { member, expectedRevision },
        deadlineAt,
      });
      if (!result) {
        return false;
      }
      if (result.kind === "registered") {
        registered = member;
        logger.info("node.registered", {
          service: member.service,
          boot: member.boot,
          leaving: member.leaving,
        });
        return true;
      }
      if (registered) {
        // This incarnation was registered, so the conflicting registration was
        // made by a newer one.
        registered = undefined;
        options.onSuperseded();
        return false;
      }
      expectedRevision = result.revision;
    }
    return false;
  }

  return {
    renewal: () =>
      registered && {
        server: registered.server,
        incarnation: registered.incarnation,
      },
    notePrevious(revision = 0) {
      previousRevision = revision;
    },
    register(member) {
      const key = JSON.stringify(member);
      if (pending?.key === key) {
        return pending.result;
      }
      const result = serial.run(() => registerNow(member));
      const own = { key, result };
      pending = own;
      const settle = () => {
        pending = pending === own ? undefined : pending;
      };
      result.then(settle, settle);
      return result;
    },
    leave(timeoutMs = REGISTRATION_TIMEOUT_MS) {
      // Calls after this one must register again, not join an earlier registration.
      pending = undefined;
      return serial.run(async () => {
        const member = registered;
        registered = undefined;
        if (member) {
          await client.callLeader(leaveMethod, {
            request: {
              server: member.server,
              incarnation: member.incarnation,
            },
            deadlineAt: timer.now() + timeoutMs,
          });
        }
      });
    },
  };
}
