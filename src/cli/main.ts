#!/usr/bin/env node
/**
 * The command line, `mustardcross`.
 * @module
 */
import { Builtins, Cli } from "clipanion";
import {
  ApplyCommand,
  CheckCommand,
  ControlCommand,
  DomainCommand,
  ExplainCommand,
  HistoryCommand,
  NodeCommand,
  ServerCommand,
  SettingsCommand,
  StatusCommand,
} from "./commands.ts";
import { DemoCommand } from "./demo_command.ts";

const cli = new Cli({
  binaryLabel: "Mustardcross",
  binaryName: "mustardcross",
  binaryVersion: "0.1.0",
});
for (
  const command of [
    Builtins.HelpCommand,
    Builtins.VersionCommand,
    NodeCommand,
    ControlCommand,
    CheckCommand,
    ApplyCommand,
    DomainCommand,
    ServerCommand,
    StatusCommand,
    HistoryCommand,
    ExplainCommand,
    SettingsCommand,
    DemoCommand,
  ]
) {
  cli.register(command);
}
await cli.runExit(process.argv.slice(2));
