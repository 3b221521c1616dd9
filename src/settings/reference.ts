/**
 * The settings reference, made from the schemas.
 * @module
 */
import type { z } from "zod";
import { unwrap } from "./mistakes.ts";
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

function definitionOf(schema: z.ZodType): Definition {
  return schema._zod.def as unknown as Definition;
}

function descriptionOf(schema: z.ZodType): string {
  const { innerType } = definitionOf(schema);
  return schema.description ?? (innerType ? descriptionOf(innerType) : "");
}

function defaultOf(schema: z.ZodType): string {
  const { type, defaultValue, innerType } = definitionOf(schema);
  if (type === "default") {
    return `\`${JSON.stringify(defaultValue)}\``;
  }
  if (type === "optional") {
    return "(none)";
  }
  return innerType ? defaultOf(innerType) : "required";
}

function typeOf(schema: z.ZodType): string {
  const inner = unwrap(schema);
  const { type, entries, element } = definitionOf(inner);
  if (type === "enum") {
    return Object.keys(entries ?? {}).join(", ");
  }
  return type === "array" && element ? `list of ${typeOf(element)}` : type;
}

/** Returns a table row for each value below a schema. */
function rowsOf(schema: z.ZodType, key: string): string[] {
  const { shape, valueType } = definitionOf(unwrap(schema));
  if (shape) {
    return Object.entries(shape).flatMap(([name, child]) =>
      rowsOf(child, key ? `${key}.${name}` : name)
    );
  }
  if (valueType && definitionOf(unwrap(valueType)).shape) {
    return rowsOf(valueType, `${key}.NAME`);
  }
  const cells = [
    `\`${key}\``,
    typeOf(schema),
    defaultOf(schema),
    descriptionOf(schema),
  ];
  return [`| ${cells.join(" | ")} |`];
}

function table(schema: z.ZodType): string {
  return [
    "| key | type | default | meaning |",
    "|---|---|---|---|",
    ...rowsOf(schema, ""),
  ].join("\n");
}

/** Returns the settings reference as Markdown. */
export function settingsReference(): string {
  return `# Settings

Made from the schemas by \`npm run docs\`. \`mustardcross check\` shows the merged
values of a site and the file that each one came from.

## A site: base file and overlay

Tables merge key by key; any other value of the overlay replaces the base's. An
overlay's list must hold every item of the base's, unless the overlay names the
key in its list \`replace\`. A key goes away only when the overlay names it in its
list \`remove\`. Times are in milliseconds.

${table(siteSchema)}

## A process

Addresses are IP numbers with ports. The token file holds one line for each
operator: a name, a token, and the teams whose services the operator may change;
without teams, everything.

${table(processSchema)}
`;
}
