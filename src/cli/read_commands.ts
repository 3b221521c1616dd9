/**
 * Commands that show control's state: `status`, `history` and `explain`.
 * @module
 */
import { writeFileSync } from "node:fs";
import { Command, Option, UsageError } from "clipanion";
import { renderAccountPage } from "../account/page.ts";
import { type AccountSearchResult, describeEvent } from "../account/report.ts";
import type { AcceptedChange } from "../control/commands.ts";
import type { ControlStatus } from "../control/node_methods.ts";
import { AdminCommand, describeChange } from "./admin_command.ts";
import { EXIT, printJson, printTable } from "./output.ts";

/** `mustardcross status` */
export class StatusCommand extends AdminCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    description: "Show control's state and the registered backend servers",
    examples: [["Show the status", "$0 status --admin 10.0.0.1:7300"]],
  });
  async execute(): Promise<number> {
    const response = await this.get("/v1/status");
    if (typeof response === "number") {
      return response;
    }
    if (this.json) {
      printJson(this.context, response.body);
      return EXIT.ok;
    }
    const status = response.body as ControlStatus;
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
    description: "Show the accepted changes, with time and operator",
    examples: [["Show the history", "$0 history"]],
  });
  async execute(): Promise<number> {
    const response = await this.get("/v1/history");
    if (typeof response === "number") {
      return response;
    }
    const { changes } = response.body as { changes: AcceptedChange[] };
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
    description: "Show which requests ran, did not run or are unknown, and why",
    examples: [
      ["By request id", "$0 explain --request 3f2a"],
      [
        "By time window, as an HTML page",
        "$0 explain --since 2026-12-01T10:00:00Z --html account.html",
      ],
    ],
  });
  request = Option.String("--request", { description: "Request id" });
  key = Option.String("--key", { description: "Idempotency key" });
  server = Option.String("--server", { description: "Backend server" });
  domain = Option.String("--domain", { description: "Failure domain" });
  since = Option.String("--since", {
    description: "Start of the time window, ISO 8601",
  });
  until = Option.String("--until", {
    description: "End of the time window, ISO 8601",
  });
  html = Option.String("--html", {
    description: "File to write an HTML page to",
  });

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
        throw new UsageError(`--${name}: "${value}" is not an ISO 8601 time`);
      }
      fields.set(name, String(time));
    }
    return fields.toString();
  }

  async execute(): Promise<number> {
    const response = await this.get(`/v1/explain?${this.query()}`);
    if (typeof response === "number") {
      return response;
    }
    const account = response.body as AccountSearchResult;
    if (this.html) {
      writeFileSync(this.html, renderAccountPage(account));
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
