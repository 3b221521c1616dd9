/**
 * Validates frames against the fields of their schemas. The schemas are not
 * used for parsing, which copies each value and compiles code in each process.
 * @module
 */
import { type Frame, frameSchema } from "./frames.ts";
import type { z } from "zod";

/** Type and constraints of a field. */
interface FieldShape {
  name: string;
  /** Result of `typeof` for the field; `any` is not checked. */
  type: "string" | "number" | "boolean" | "object" | "any";
  optional: boolean;
  /** Fields of an object. */
  fields?: readonly FieldShape[];
  /** Set for an array of strings, or of string tuples if a length is given. */
  array?: { tupleLength: number | undefined };
  /** Allowed values. */
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
      const tupleLength = element.type === "tuple"
        ? element.items.length
        : undefined;
      return { ...field, type: "object", array: { tupleLength } };
    }
    default:
      return field;
  }
}

function areStrings(list: unknown[], tupleLength: number | undefined): boolean {
  for (const entry of list) {
    const strings = tupleLength === undefined ? [entry] : entry as unknown[];
    if (tupleLength !== undefined && strings.length !== tupleLength) {
      return false;
    }
    for (let index = 0; index < strings.length; index++) {
      if (typeof strings[index] !== "string") {
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
    const fieldValue = value[name];
    if (fieldValue === undefined && optional) {
      continue;
    }
    if (field.values && !field.values.has(fieldValue)) {
      return false;
    }
    if (type === "any") {
      continue;
    }
    if (typeof fieldValue !== type || fieldValue === null) {
      return false;
    }
    if (field.array) {
      if (
        !Array.isArray(fieldValue) ||
        !areStrings(fieldValue, field.array.tupleLength)
      ) {
        return false;
      }
    } else if (field.fields) {
      if (!hasShape(fieldValue as Record<string, unknown>, field.fields)) {
        return false;
      }
    }
  }
  return true;
}

/** Creates a function that checks whether a value is a frame. */
export function createFrameValidator(): (value: unknown) => value is Frame {
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
