/**
 * Commands for settings files: `check` and `settings`.
 * @module
 */
import { Command, Option } from "clipanion";
import { loadSite } from "../settings/load.ts";
import { formatSettingsReference } from "../settings/reference.ts";
import { EXIT, printJson, printTable, reportErrors } from "./output.ts";

/** `mustardcross check` */
export class CheckCommand extends Command {
  static override paths = [["check"]];
  static override usage = Command.Usage({
    description: "Validate a base file with an overlay and print the result",
    details:
      "Tables are merged key by key. A list in the overlay must contain all " +
      "items of the list in the base, unless the overlay names the key under " +
      "`replace`; a key is removed only if it is named under `remove`.",
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
      return Promise.resolve(reportErrors(this.context, checked.error));
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
    examples: [["Page through the reference", "$0 settings | less"]],
  });

  execute(): Promise<number> {
    this.context.stdout.write(formatSettingsReference());
    return Promise.resolve(EXIT.ok);
  }
}
