/**
 * The commands of the command line, but for `demo`.
 * @module
 */
import { writeFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import { describeEvent, type FoundAccount } from "../account/report.ts";
import { accountPage } from "../account/page.ts";
import type { AcceptedChange } from "../control/commands.ts";
import type { ControlStatus } from "../control/node_methods.ts";
import { createLogger } from "../core/logger.ts";
import { standardOutput } from "../core/log_sink.ts";
import { errorMessage } from "../core/errors.ts";
import { startProcess } from "../process.ts";
import { loadProcess, loadSite } from "../settings/load.ts";
import { settingsReference } from "../settings/reference.ts";
import {
  AdminCommand,
  ChangeCommand,
  describeChange,
} from "./admin_command.ts";
import { EXIT, printJson, printTable, reportMistakes } from "./output.ts";

/** Longest wait for the reader of the last log lines, in milliseconds. */
const FLUSH_MS = 200;

/** Runs a process until it is told to stop by a signal. */
abstract class RunCommand extends Command {
  settings = Option.String("--settings", {
    required: true,
    description: "The process's own settings, a TOML file",
  });

  protected async run(role: "node" | "control"): Promise<number> {
    const loaded = loadProcess(this.settings);
    if (loaded.isErr()) {
      return reportMistakes(this.context, loaded.error);
    }
    const settings = loaded.value;
    if (!settings[role]) {
      return reportMistakes(this.context, [{
        file: this.settings,
        key: role,
        found: "nothing",
        expected: `the table [${role}]`,
      }]);
    }
    const output = standardOutput();
    const logger = createLogger({ write: output.write });
    try {
      const running = await startProcess(settings, { logger });
      await new Promise<void>((resolve) => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
      });
      logger.info("process.stopping", { vm: settings.vm });
      await running.stop();
      await output.flush(FLUSH_MS);
      // Idle sockets of libraries must not keep the process.
      setImmediate(() => process.exit(EXIT.ok));
      return EXIT.ok;
    } catch (error) {
      logger.error("process.failed", { error: errorMessage(error) });
      await output.flush(FLUSH_MS);
      return EXIT.failed;
    }
  }
}

/** `mustardcross node` */
export class NodeCommand extends RunCommand {
  static override paths = [["node"]];
  static override usage = Command.Usage({
    description: "Run the node role, and control too if the settings say so",
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
    description: "Run the control role, and a node too if the settings say so",
    details: "Stops gracefully on SIGTERM or SIGINT.",
    examples: [["Run a control replica", "$0 control --settings vm1.toml"]],
  });
  execute(): Promise<number> {
    return this.run("control");
  }
}

/** `mustardcross check` */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Check a base file with an overlay, and show the result",
    details:
      "Tables merge key by key. An overlay's list must hold every item of " +
      "the base's, unless the overlay names the key under `replace`; a key " +
      "goes away only when the overlay names it under `remove`.",
    examples: [[
      "Check the overlay of one site",
      "$0 check examples/base.toml examples/rajkot.toml",
    ]],
  });
  base = Option.String({ name: "base" });
  overlay = Option.String({ required: false, name: "overlay" });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  execute(): Promise<number> {
    const checked = loadSite(this.base, this.overlay);
    if (checked.isErr()) {
      return Promise.resolve(reportMistakes(this.context, checked.error));
    }
    const { site, origins } = checked.value;
    if (this.json) {
      printJson(this.context, { site, origins: Object.fromEntries(origins) });
      return Promise.resolve(EXIT.ok);
    }
    const rows = [...origins].map(([key, origin]) => [
      key,
      JSON.stringify(
        key.split(".").reduce<unknown>(
          (value, part) => (value as Record<string, unknown>)[part],
          site,
        ),
      ),
      origin,
    ]);
    printTable(this.context, [["KEY", "VALUE", "ORIGIN"], ...rows]);
    return Promise.resolve(EXIT.ok);
  }
}

/** `mustardcross settings` */
export class SettingsCommand extends Command {
  static override paths = [["settings"]];
  static override usage = Command.Usage({
    description: "Print the settings reference as Markdown",
    examples: [["Read it", "$0 settings | less"]],
  });

  execute(): Promise<number> {
    this.context.stdout.write(settingsReference());
    return Promise.resolve(EXIT.ok);
  }
}

/** `mustardcross apply` */
export class ApplyCommand extends ChangeCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "Check a base file with an overlay, and put it in force",
    examples: [[
      "Apply a site's configuration against version 7",
      "$0 apply base.toml rajkot.toml --against 7 --token-file token",
    ]],
  });
  base = Option.String({ name: "base" });
  overlay = Option.String({ required: false, name: "overlay" });

  async execute(): Promise<number> {
    const checked = loadSite(this.base, this.overlay);
    if (checked.isErr()) {
      return reportMistakes(this.context, checked.error);
    }
    return await this.change({ kind: "configure", site: checked.value.site });
  }
}

/** `mustardcross domain` */
export class DomainCommand extends ChangeCommand {
  static override paths = [["domain"]];
  static override usage = Command.Usage({
    description: "Take a failure domain out of service, or bring it back",
    examples: [["Take a failure domain out", "$0 domain out kalavad"]],
  });
  direction = Option.String({ name: "out|back" });
  domain = Option.String({ name: "domain" });

  execute(): Promise<number> {
    const { domain } = this;
    const out = isOut(this.direction);
    return this.change({ kind: out ? "domain_out" : "domain_back", domain });
  }
}

/** `mustardcross server` */
export class ServerCommand extends ChangeCommand {
  static override paths = [["server"]];
  static override usage = Command.Usage({
    description: "Take a backend server out of service, or bring it back",
    examples: [["Take a backend server out", "$0 server out vm3"]],
  });
  direction = Option.String({ name: "out|back" });
  server = Option.String({ name: "server" });

  execute(): Promise<number> {
    const { server } = this;
    const out = isOut(this.direction);
    return this.change({ kind: out ? "server_out" : "server_back", server });
  }
}

function isOut(direction: string): boolean {
  if (direction !== "out" && direction !== "back") {
    throw new UsageError(`expected "out" or "back", found "${direction}"`);
  }
  return direction === "out";
}

/** `mustardcross status` */
export class StatusCommand extends AdminCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show control's state and the registered backend servers",
    examples: [["Show the status", "$0 status --admin 10.0.0.1:7300"]],
  });
  async execute(): Promise<number> {
    const got = await this.get("/v1/status");
    if (typeof got === "number") {
      return got;
    }
    if (this.json) {
      printJson(this.context, got.body);
      return EXIT.ok;
    }
    const status = got.body as ControlStatus;
    printTable(this.context, [
      ["replica", `${status.identity} (${status.role}, term ${status.term})`],
      ["leader", status.leader || "none"],
      ["version", String(status.version)],
      ["voters", status.voters.join(", ")],
      ["learners", status.learners.join(", ") || "none"],
      ["claims", String(status.claims)],
      ["domains out", status.domainsOut.join(", ") || "none"],
      ["servers out", status.serversOut.join(", ") || "none"],
      ...(status.failure ? [["failure", status.failure]] : []),
    ]);
    this.context.stdout.write("\n");
    printTable(this.context, [
      ["SERVER", "SERVICE", "DOMAIN", "ADDRESS", "STATE"],
      ...status.members.map((member) => [
        member.server,
        member.service,
        member.domain,
        member.address,
        member.leaving ? "leaving" : "serving",
      ]),
    ]);
    return EXIT.ok;
  }
}

/** `mustardcross history` */
export class HistoryCommand extends AdminCommand {
  static override paths = [["history"]];
  static override usage = Command.Usage({
    description: "Show who changed what, and when",
    examples: [["Show the history", "$0 history"]],
  });
  async execute(): Promise<number> {
    const got = await this.get("/v1/history");
    if (typeof got === "number") {
      return got;
    }
    const { changes } = got.body as { changes: AcceptedChange[] };
    if (this.json) {
      printJson(this.context, changes);
      return EXIT.ok;
    }
    for (const change of changes) {
      this.context.stdout.write(describeChange(change) + "\n");
    }
    return EXIT.ok;
  }
}

/** `mustardcross explain` */
export class ExplainCommand extends AdminCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    description: "Tell what ran, what did not, what is unknown, and why",
    examples: [
      ["By request id", "$0 explain --request 3f2a"],
      [
        "By time window, as a page",
        "$0 explain --since 2026-12-01T10:00:00Z --html account.html",
      ],
    ],
  });
  request = Option.String("--request", { description: "Request id" });
  key = Option.String("--key", { description: "Idempotency key" });
  server = Option.String("--server", { description: "Backend server" });
  domain = Option.String("--domain", { description: "Failure domain" });
  since = Option.String("--since", { description: "Start, ISO 8601" });
  until = Option.String("--until", { description: "End, ISO 8601" });
  html = Option.String("--html", { description: "Write a page to this file" });

  private query(): string {
    const fields = new URLSearchParams();
    const { request, key, server, domain } = this;
    for (
      const [name, value] of Object.entries({ request, key, server, domain })
    ) {
      if (value !== undefined) {
        fields.set(name, value);
      }
    }
    for (
      const [name, value] of Object.entries({
        since: this.since,
        until: this.until,
      })
    ) {
      if (value === undefined) {
        continue;
      }
      const time = Date.parse(value);
      if (Number.isNaN(time)) {
        throw new UsageError(`--${name}: "${value}" is no ISO 8601 time`);
      }
      fields.set(name, String(time));
    }
    return fields.toString();
  }

  async execute(): Promise<number> {
    const got = await this.get(`/v1/explain?${this.query()}`);
    if (typeof got === "number") {
      return got;
    }
    const account = got.body as FoundAccount;
    if (this.html) {
      writeFileSync(this.html, accountPage(account));
    }
    if (this.json) {
      printJson(this.context, account);
      return EXIT.ok;
    }
    const { stdout } = this.context;
    for (const change of account.changes) {
      stdout.write(`change: ${describeChange(change)}\n`);
    }
    for (const event of account.events) {
      stdout.write(describeEvent(event) + "\n");
    }
    stdout.write(
      `${account.events.length} events, ${account.dropped} dropped, ` +
        `${account.missing.length} replicas did not answer\n`,
    );
    return EXIT.ok;
  }
}
