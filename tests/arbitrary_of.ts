/**
 * Arbitrary values of a schema: each has the right shape and odd contents, such
 * as numbers at the ends of their range and strings that are no header value.
 * @module
 */
import fc from "fast-check";
import type { z } from "zod";

const oddStrings = fc.oneof(
  fc.string({ maxLength: 20 }),
  fc.constantFrom("", "__proto__", "a\r\nb: c", "\0", "127.0.0.1:1", "é\ud800"),
);
const oddNumbers = fc.oneof(
  fc.integer({ min: -3, max: 50 }),
  fc.constantFrom(0.5, -1, 1e300, -1e300, 2 ** 53, 2 ** 32, 1e-300),
);

/** Returns values of an object's fields. */
function ofFields(
  shape: Record<string, z.core.$ZodType>,
): fc.Arbitrary<unknown> {
  const entries = Object.entries(shape)
    .map(([name, field]) => [name, arbitraryOf(field)] as const);
  return fc.record(Object.fromEntries(entries));
}

/** Returns the values of a schema. Kinds that no frame or call uses throw. */
export function arbitraryOf(schema: z.core.$ZodType): fc.Arbitrary<unknown> {
  const { def } = (schema as z.core.$ZodTypes)._zod;
  switch (def.type) {
    case "string":
      return oddStrings;
    case "number":
      return oddNumbers;
    case "boolean":
      return fc.boolean();
    case "literal":
      return fc.constantFrom(...def.values);
    case "enum":
      return fc.constantFrom(...Object.values(def.entries));
    case "optional":
    case "default":
    case "prefault":
      return fc.option(arbitraryOf(def.innerType), { nil: undefined });
    case "nullable":
      return fc.option(arbitraryOf(def.innerType), { nil: null });
    case "object":
      return ofFields(def.shape);
    case "array":
      return fc.array(arbitraryOf(def.element), { maxLength: 3 });
    case "tuple":
      return fc.tuple(...def.items.map(arbitraryOf));
    case "record":
      return fc.dictionary(oddStrings, arbitraryOf(def.valueType), {
        maxKeys: 3,
      });
    case "union":
      return fc.oneof(...def.options.map(arbitraryOf));
    case "pipe":
      return arbitraryOf(def.in);
    case "custom":
      return fc.uint8Array({ maxLength: 20 });
    case "any":
    case "unknown":
      return fc.anything({ maxDepth: 2 });
    default:
      throw new Error(`no arbitrary values of ${def.type}`);
  }
}
