/**
 * Base classes of the commands that call the administration API.
 * @module
 */
import { Command, Option } from "clipanion";
import type { AcceptedChange, Action } from "../control/commands.ts";
import {
  type AdminTarget,
  callAdmin,
  readToken,
  sendChange,
} from "./admin_client.ts";
import { EXIT, printJson } from "./output.ts";

const UNAUTHORIZED = 401;
const UNAVAILABLE = 503;

/** Command that calls the administration API. */
export abstract class AdminCommand extends Command {
  admin = Option.String("--admin", "127.0.0.1:7300", {
    description: "Admin addresses of control replicas, separated by commas",
  });
  tokenFile = Option.String("--token-file", {
    description: "File with the token; MUSTARDCROSS_TOKEN is used by default",
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  protected target(): AdminTarget {
    return {
      addresses: this.admin.split(","),
      token: readToken(this.tokenFile),
    };
  }

  /** Fetches a path. Returns the body, or an exit code if the call failed. */
  protected async get(path: string): Promise<{ body: unknown } | number> {
    const answer = await callAdmin(this.target(), path);
    if (answer.isErr()) {
      const { peer, message } = answer.error;
      this.context.stderr.write(`${peer}: ${message}\n`);
      return EXIT.unavailable;
    }
    const { status, body } = answer.value;
    if (status !== 200) {
      const { error } = body as { error: string };
      this.context.stderr.write(`${error}\n`);
      return status === UNAUTHORIZED ? EXIT.refused : EXIT.failed;
    }
    return { body };
  }
}

/** Command that submits a change. */
export abstract class ChangeCommand extends AdminCommand {
  against = Option.String("--against", {
    description: "Version the change is based on; the current one by default",
  });
  changeId = Option.String("--change-id", {
    description: "Id of the change; the same id makes a resend idempotent",
  });
  force = Option.Boolean("--force", false, {
    description: "Make the change even if it leaves a service without servers",
  });

  /** Submits a change, prints the outcome and returns the exit code. */
  protected async change(action: Action): Promise<number> {
    const sent = await sendChange(this.target(), {
      action,
      against: this.against === undefined ? undefined : Number(this.against),
      changeId: this.changeId,
      force: this.force,
    });
    const { stdout, stderr } = this.context;
    if (sent.isErr()) {
      stderr.write(`${sent.error.peer}: ${sent.error.message}\n`);
      return EXIT.unavailable;
    }
    const outcome = sent.value;
    if (outcome.kind === "error") {
      stderr.write(`${outcome.message}\nchange id: ${outcome.changeId}\n`);
      return outcome.status === UNAVAILABLE ? EXIT.unavailable : EXIT.refused;
    }
    const { result, changeId } = outcome;
    if (this.json) {
      printJson(this.context, { change_id: changeId, ...result });
    }
    switch (result.kind) {
      case "accepted":
        if (!this.json) {
          stdout.write(`accepted as version ${result.version}\n`);
        }
        return EXIT.ok;
      case "conflict":
        stderr.write(
          `conflict: the current version is ${result.version}\n` +
            (result.winner ? describeChange(result.winner) + "\n" : ""),
        );
        return EXIT.conflict;
      case "refused":
        stderr.write(`refused: ${result.reason}: ${result.detail}\n`);
        return EXIT.refused;
    }
  }
}

/** Formats an accepted change as one line. */
export function describeChange(change: AcceptedChange): string {
  const time = new Date(change.wallTime).toISOString();
  const { version, operator, action, target, forced } = change;
  const keys = change.differences.map((one) => one.key).slice(0, 4).join(", ");
  const more = change.differences.length > 4 ? ", ..." : "";
  return `${time} version ${version}: ${operator}: ${action} ${target}` +
    `${forced ? " (forced)" : ""} [${keys}${more}]`;
}
