/**
 * Generates the settings reference from the schemas.
 * @module
 */
import type { z } from "zod";
import { unwrap } from "./settings_error.ts";
import { processSchema } from "./process.ts";
import { siteSchema } from "./site.ts";

interface Definition {
  type: string;
  innerType?: z.ZodType;
  shape?: Record<string, z.ZodType>;
  valueType?: z.ZodType;
  element?: z.ZodType;
  entries?: Record<string, string>;
  defaultValue?: unknown;
}

function getDefinition(schema: z.ZodType): Definition {
  return schema._zod.def as unknown as Definition;
}

function getDescription(schema: z.ZodType): string {
  const { innerType } = getDefinition(schema);
  return schema.description ?? (innerType ? getDescription(innerType) : "");
}

function formatDefault(schema: z.ZodType): string {
  const { type, defaultValue, innerType } = getDefinition(schema);
  if (type === "default") {
    return `\`${JSON.stringify(defaultValue)}\``;
  }
  if (type === "optional") {
    return "(none)";
  }
  return innerType ? formatDefault(innerType) : "required";
}

function formatType(schema: z.ZodType): string {
  const inner = unwrap(schema);
  const { type, entries, element } = getDefinition(inner);
  if (type === "enum") {
    return Object.keys(entries ?? {}).join(", ");
  }
  return type === "array" && element ? `list of ${formatType(element)}` : type;
}

/** Formats a table row for each value that a schema defines. */
function formatRows(schema: z.ZodType, key: string): string[] {
  const { shape, valueType } = getDefinition(unwrap(schema));
  if (shape) {
    return Object.entries(shape).flatMap(([name, child]) =>
      formatRows(child, key ? `${key}.${name}` : name)
    );
  }
  if (valueType && getDefinition(unwrap(valueType)).shape) {
    return formatRows(valueType, `${key}.NAME`);
  }
  const cells = [
    `\`${key}\``,
    formatType(schema),
    formatDefault(schema),
    getDescription(schema),
  ];
  return [`| ${cells.join(" | ")} |`];
}

function formatTable(schema: z.ZodType): string {
  return [
    "| key | type | default | meaning |",
    "|---|---|---|---|",
    ...formatRows(schema, ""),
  ].join("\n");
}

/** Returns the settings reference as Markdown. */
export function formatSettingsReference(): string {
  return `# Settings

Generated from the schemas by \`npm run docs\`. \`mustardcross check\` shows the
merged values of a site and the file that set each of them.

## A site: base file and overlay

Tables are merged key by key; any other value of the overlay replaces the value
of the base. A list in the overlay must contain all items of the list in the
base, unless the overlay names the key in its list \`replace\`. A key is removed
only if the overlay names it in its list \`remove\`. Times are in milliseconds.

${formatTable(siteSchema)}

## A process

Addresses are IP addresses with ports. The token file has one line for each
operator: a name, a token, and the teams whose services the operator may change.
An operator without teams may change everything.

${formatTable(processSchema)}
`;
}
