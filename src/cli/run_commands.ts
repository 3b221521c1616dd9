/**
 * Commands that run a process until a signal: `node` and `control`.
 * @module
 */
import { Command, Option } from "clipanion";
import { errorMessage } from "../core/errors.ts";
import { createStandardOutputSink } from "../core/log_sink.ts";
import { createLogger } from "../core/logger.ts";
import { startProcess } from "../process.ts";
import { loadProcess } from "../settings/load.ts";
import { EXIT, reportErrors } from "./output.ts";

/** Timeout for writing out the last log lines at exit. */
const FLUSH_TIMEOUT_MS = 200;

/**
 * Runs a process until SIGTERM or SIGINT, and then stops it gracefully: a node
 * drains its requests in flight, and a control replica hands over its
 * leadership. A second signal of the same kind kills the process at once.
 */
abstract class RunCommand extends Command {
  settings = Option.String("--settings", {
    required: true,
    description: "TOML file with the settings of the process",
  });

  protected async run(role: "node" | "control"): Promise<number> {
    const loaded = loadProcess(this.settings);
    if (loaded.isErr()) {
      return reportErrors(this.context, loaded.error);
    }
    const settings = loaded.value;
    if (!settings[role]) {
      return reportErrors(this.context, [{
        file: this.settings,
        key: role,
        found: "nothing",
        expected: `the table [${role}]`,
      }]);
    }
    const output = createStandardOutputSink();
    const logger = createLogger({ write: output.write });
    try {
      const running = await startProcess(settings, { logger });
      await new Promise<void>((resolve) => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
      });
      logger.info("process.stopping", { vm: settings.vm });
      await running.stop();
      await output.flush(FLUSH_TIMEOUT_MS);
      // Idle sockets of libraries would keep the process alive.
      setImmediate(() => process.exit(EXIT.ok));
      return EXIT.ok;
    } catch (error) {
      logger.error("process.failed", { error: errorMessage(error) });
      await output.flush(FLUSH_TIMEOUT_MS);
      return EXIT.failed;
    }
  }
}

/** `mustardcross node` */
export class NodeCommand extends RunCommand {
  static override paths = [["node"]];
  static override usage = Command.Usage({
    description:
      "Run the node role, and the control role if the settings have it",
    details: "Stops gracefully on SIGTERM or SIGINT.",
    examples: [["Run a node", "$0 node --settings vm1.toml"]],
  });
  execute(): Promise<number> {
    return this.run("node");
  }
}

/** `mustardcross control` */
export class ControlCommand extends RunCommand {
  static override paths = [["control"]];
  static override usage = Command.Usage({
    description:
      "Run the control role, and the node role if the settings have it",
    details: "Stops gracefully on SIGTERM or SIGINT.",
    examples: [["Run a control replica", "$0 control --settings vm1.toml"]],
  });
  execute(): Promise<number> {
    return this.run("control");
  }
}
