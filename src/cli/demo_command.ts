/**
 * Command that runs the whole system in one process, with a small load.
 * @module
 */
import { Command, Option, UsageError } from "clipanion";
import { runDemo } from "../demo/demo.ts";
import { EXIT, printJson } from "./output.ts";

const SITES = ["rajkot", "sambirano"];

/** `mustardcross demo` */
export class DemoCommand extends Command {
  static override paths = [["demo"]];
  static override usage = Command.Usage({
    description: "Run the whole system in one process with a small load",
    examples: [["Show Sambirano's site", "$0 demo --site sambirano"]],
  });
  site = Option.String("--site", "rajkot", {
    description: `One of ${SITES.join(", ")}`,
  });
  json = Option.Boolean("--json", false, { description: "Print JSON" });

  async execute(): Promise<number> {
    if (!SITES.includes(this.site)) {
      throw new UsageError(
        `--site: found "${this.site}", expected one of ${SITES.join(", ")}`,
      );
    }
    const { stdout } = this.context;
    const results = await runDemo({
      site: this.site,
      print: (line) => {
        if (!this.json) {
          stdout.write(line + "\n");
        }
      },
    });
    if (this.json) {
      printJson(this.context, results);
    }
    return results.cut === 0 && results.repeated === 0 ? EXIT.ok : EXIT.failed;
  }
}
