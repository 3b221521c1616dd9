/**
 * Registers the backend server of this VM with control, and takes the
 * registration back when it leaves.
 * @module
 */
import type { Member } from "../control/commands.ts";
import {
  leaveMethod,
  registerMethod,
  type Renewal,
} from "../control/node_methods.ts";
import type { Logger } from "../core/logger.ts";
import { createSerial } from "../core/tasks.ts";
import type { Timer } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";

/** The registration of one backend server. */
export interface Registration {
  /** Lease to renew, if it is registered. */
  renewal(): Renewal | undefined;
  /** Registers, or changes what is registered. */
  register(member: Member): Promise<boolean>;
  /** Removes the registration, or gives up after a time in milliseconds. */
  leave(timeoutMs?: number): Promise<void>;
}

/** Options of {@link createRegistration}. */
export interface RegistrationOptions {
  client: ControlClient;
  timer: Timer;
  logger: Logger;
  /** Another incarnation has taken this VM's place. */
  onSuperseded: () => void;
}

const TIMEOUT_MS = 5_000;

/** Creates a registration that is not made yet. */
export function createRegistration(
  options: RegistrationOptions,
): Registration {
  const { client, timer, logger } = options;
  const serial = createSerial();
  let registered: Member | undefined;

  async function registerNow(member: Member): Promise<boolean> {
    let expectedRevision = 0;
    const deadlineAt = timer.now() + TIMEOUT_MS;
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
        // It was this incarnation's turn before: a newer one has come since.
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
    register: (member) => serial.run(() => registerNow(member)),
    leave: (timeoutMs = TIMEOUT_MS) =>
      serial.run(async () => {
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
      }),
  };
}
