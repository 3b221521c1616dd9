/**
 * Merges a base settings file with a site's overlay.
 *
 * Tables are merged key by key; any other value of the overlay replaces the
 * value of the base. A list in the overlay must contain all items of the list
 * in the base, unless the overlay names the key under `replace`. A key is
 * removed only if the overlay names it under `remove`. An overlay thus never
 * drops items or keys of the base by accident.
 * @module
 */
import { getValueAt, type SettingsError } from "./settings_error.ts";

/** A TOML table. */
export type Table = Record<string, unknown>;

/** Parsed settings file. */
export interface Source {
  /** File name as the caller gave it. */
  file: string;
  table: Table;
}

/** Merged table and the origins of its values. */
export interface MergeResult {
  table: Table;
  /** File that set the value of each dotted key, tables left out. */
  origins: Map<string, string>;
  /** Violations of the merge rules by the overlay. */
  errors: SettingsError[];
}

const DIRECTIVES = ["replace", "remove"];

function isTable(value: unknown): value is Table {
  return typeof value === "object" && value !== null &&
    !Array.isArray(value) && !(value instanceof Date);
}

function readKeyList(
  source: Source,
  key: string,
  errors: SettingsError[],
): string[] {
  const value = source.table[key] ?? [];
  const valid = Array.isArray(value) &&
    value.every((item) => typeof item === "string");
  if (!valid) {
    errors.push({
      file: source.file,
      key,
      found: JSON.stringify(value),
      expected: "a list of dotted keys",
    });
    return [];
  }
  return value as string[];
}

function describeType(value: unknown): string {
  if (Array.isArray(value)) {
    return "a list";
  }
  return isTable(value) ? "a table" : `a ${typeof value}`;
}

/** Merges an overlay into a base file. */
export function mergeOverlay(base: Source, overlay: Source): MergeResult {
  const errors: SettingsError[] = [];
  const origins = new Map<string, string>();
  const replace = new Set(readKeyList(overlay, "replace", errors));
  const remove = new Set(readKeyList(overlay, "remove", errors));

  function reject(key: string, found: string, expected: string): void {
    errors.push({ file: overlay.file, key, found, expected });
  }

  function recordOrigins(value: unknown, key: string, file: string): void {
    if (!isTable(value)) {
      origins.set(key, file);
      return;
    }
    for (const [name, child] of Object.entries(value)) {
      recordOrigins(child, `${key}.${name}`, file);
    }
  }

  function checkList(
    baseValue: unknown[],
    overlayValue: unknown[],
    key: string,
  ): void {
    const overlayItems = new Set(
      overlayValue.map((item) => JSON.stringify(item)),
    );
    const missing = baseValue.filter((item) =>
      !overlayItems.has(JSON.stringify(item))
    );
    if (missing.length > 0 && !replace.has(key)) {
      reject(
        key,
        `a list without ${JSON.stringify(missing)}`,
        `every item of the base, or "${key}" under replace`,
      );
    }
  }

  function mergeValue(
    baseValue: unknown,
    overlayValue: unknown,
    key: string,
  ): unknown {
    if (isTable(baseValue) && isTable(overlayValue)) {
      return mergeTables(baseValue, overlayValue, `${key}.`);
    }
    if (
      baseValue !== undefined &&
      describeType(baseValue) !== describeType(overlayValue)
    ) {
      reject(
        key,
        describeType(overlayValue),
        `${describeType(baseValue)}, as in the base`,
      );
    }
    if (Array.isArray(baseValue) && Array.isArray(overlayValue)) {
      checkList(baseValue, overlayValue, key);
    }
    recordOrigins(overlayValue, key, overlay.file);
    return overlayValue;
  }

  function mergeTables(
    baseValue: Table,
    overlayValue: Table,
    prefix: string,
  ): Table {
    const result: Table = {};
    const names = new Set([
      ...Object.keys(baseValue),
      ...Object.keys(overlayValue),
    ]);
    for (const name of names) {
      const key = prefix + name;
      if (remove.has(key)) {
        if (name in overlayValue) {
          reject(key, "a value", "no value, since the key is under remove");
        }
        continue;
      }
      if (name in overlayValue) {
        result[name] = mergeValue(baseValue[name], overlayValue[name], key);
      } else {
        result[name] = baseValue[name];
        recordOrigins(baseValue[name], key, base.file);
      }
    }
    return result;
  }

  const overlayTable = Object.fromEntries(
    Object.entries(overlay.table)
      .filter(([name]) => !DIRECTIVES.includes(name)),
  );
  const table = mergeTables(base.table, overlayTable, "");
  for (const key of [...replace, ...remove]) {
    if (getValueAt(base.table, key.split(".")) === undefined) {
      reject(key, "no such key in the base", "a key of the base");
    }
  }
  return { table, origins, errors };
}
