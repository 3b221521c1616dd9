/**
 * Checks the shape of frames by the fields of their schemas. The schemas' own
 * parsing copies each value, and compiles code in each process.
 * @module
 */
import { type Frame, frameSchema } from "./frames.ts";
import type { z } from "zod";

/** What a field must be. */
interface FieldShape {
  name: string;
  /** What `typeof` says of it; `any` is not looked at. */
  type: "string" | "number" | "boolean" | "object" | "any";
  optional: boolean;
  /** Fields of an object. */
  fields?: readonly FieldShape[];
  /** Whether it is an array, of lists of so many texts if that is given. */
  array?: { texts: number | undefined };
  /** Values that it may have. */
  values?: ReadonlySet<unknown>;
}

function fieldsOf(shape: Record<string, z.core.$ZodType>): FieldShape[] {
  return Object.entries(shape).map(([name, schema]) => shapeOf(name, schema));
}

function shapeOf(name: string, schema: z.core.$ZodType): FieldShape {
  const { def } = (schema as z.core.$ZodTypes)._zod;
  const field: FieldShape = { name, type: "any", optional: false };
  switch (def.type) {
    case "optional":
      return { ...shapeOf(name, def.innerType), optional: true };
    case "string":
    case "number":
    case "boolean":
      return { ...field, type: def.type };
    case "literal":
      return { ...field, values: new Set(def.values) };
    case "enum":
      return { ...field, values: new Set(Object.values(def.entries)) };
    case "object":
      return { ...field, type: "object", fields: fieldsOf(def.shape) };
    case "array": {
      const { def: element } = (def.element as z.core.$ZodTypes)._zod;
      const texts = element.type === "tuple" ? element.items.length : undefined;
      return { ...field, type: "object", array: { texts } };
    }
    default:
      return field;
  }
}

function areTexts(list: unknown[], count: number | undefined): boolean {
  for (const entry of list) {
    const texts = count === undefined ? [entry] : entry as unknown[];
    if (count !== undefined && texts.length !== count) {
      return false;
    }
    for (let index = 0; index < texts.length; index++) {
      if (typeof texts[index] !== "string") {
        return false;
      }
    }
  }
  return true;
}

function hasShape(
  value: Record<string, unknown>,
  fields: readonly FieldShape[],
): boolean {
  for (const { name, type, optional, ...field } of fields) {
    const one = value[name];
    if (one === undefined && optional) {
      continue;
    }
    if (field.values && !field.values.has(one)) {
      return false;
    }
    if (type === "any") {
      continue;
    }
    if (typeof one !== type || one === null) {
      return false;
    }
    if (field.array) {
      if (!Array.isArray(one) || !areTexts(one, field.array.texts)) {
        return false;
      }
    } else if (field.fields) {
      if (!hasShape(one as Record<string, unknown>, field.fields)) {
        return false;
      }
    }
  }
  return true;
}

/** Returns what tells whether a value is a frame. */
export function createShapeCheck(): (value: unknown) => value is Frame {
  const shapes = new Map(
    frameSchema.options.map((schema): [unknown, FieldShape[]] => {
      const [kind] = schema.shape.kind.def.values;
      return [kind, fieldsOf(schema.shape)];
    }),
  );
  return (value): value is Frame => {
    if (typeof value !== "object" || value === null) {
      return false;
    }
    const fields = shapes.get((value as { kind?: unknown }).kind);
    return fields !== undefined &&
      hasShape(value as Record<string, unknown>, fields);
  };
}
