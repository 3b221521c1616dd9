#!/usr/bin/env node
/**
 * Entry point of the command line, `mustardcross`.
 * @module
 */
import { Builtins, Cli } from "clipanion";
import {
  ApplyCommand,
  DomainCommand,
  ServerCommand,
} from "./change_commands.ts";
import { DemoCommand } from "./demo_command.ts";
import {
  ExplainCommand,
  HistoryCommand,
  StatusCommand,
} from "./read_commands.ts";
import { ControlCommand, NodeCommand } from "./run_commands.ts";
import { CheckCommand, SettingsCommand } from "./settings_commands.ts";

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
