/**
 * Commands that change the configuration: `apply`, `domain` and `server`.
 * @module
 */
import { Command, Option, UsageError } from "clipanion";
import { loadSite } from "../settings/load.ts";
import { ChangeCommand } from "./admin_command.ts";
import { reportErrors } from "./output.ts";

/** `mustardcross apply` */
export class ApplyCommand extends ChangeCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "Validate a base file with an overlay and apply the result",
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
      return reportErrors(this.context, checked.error);
    }
    return await this.change({ kind: "configure", site: checked.value.site });
  }
}

/** `mustardcross domain` */
export class DomainCommand extends ChangeCommand {
  static override paths = [["domain"]];
  static override usage = Command.Usage({
    description: "Take a failure domain out of service or return it to service",
    examples: [["Take a failure domain out", "$0 domain out kalavad"]],
  });
  direction = Option.String({ name: "out|back" });
  domain = Option.String({ name: "domain" });

  execute(): Promise<number> {
    const { domain } = this;
    const out = parseDirection(this.direction);
    return this.change({ kind: out ? "domain_out" : "domain_back", domain });
  }
}

/** `mustardcross server` */
export class ServerCommand extends ChangeCommand {
  static override paths = [["server"]];
  static override usage = Command.Usage({
    description: "Take a backend server out of service or return it to service",
    examples: [["Take a backend server out", "$0 server out vm3"]],
  });
  direction = Option.String({ name: "out|back" });
  server = Option.String({ name: "server" });

  execute(): Promise<number> {
    const { server } = this;
    const out = parseDirection(this.direction);
    return this.change({ kind: out ? "server_out" : "server_back", server });
  }
}

/** Returns whether the direction is `out`; rejects all but `out` and `back`. */
function parseDirection(direction: string): boolean {
  if (direction !== "out" && direction !== "back") {
    throw new UsageError(`expected "out" or "back", found "${direction}"`);
  }
  return direction === "out";
}
