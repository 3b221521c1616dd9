/**
 * Reads, merges and validates settings files.
 * @module
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { errorMessage } from "../core/errors.ts";
import { mergeOverlay, type Source, type Table } from "./merge.ts";
import { type SettingsError, toSettingsErrors } from "./settings_error.ts";
import { processSchema, type ProcessSettings } from "./process.ts";
import { findRouteViolations } from "./route_rules.ts";
import { type Site, siteSchema } from "./site.ts";
import { findWorkspaceViolations } from "./workspace_rules.ts";

/** Valid site settings with the origin of each value. */
export interface CheckedSite {
  site: Site;
  /** File that set the value of each dotted key, or `default`. */
  origins: Map<string, string>;
}

/** Reads a TOML file. */
export function readSource(file: string): Result<Source, SettingsError[]> {
  try {
    return parseSource(file, readFileSync(file, "utf8"));
  } catch (error) {
    return err([{
      file,
      key: "(whole file)",
      found: errorMessage(error),
      expected: "a readable file",
    }]);
  }
}

/** Parses the text of a TOML file. */
export function parseSource(
  file: string,
  text: string,
): Result<Source, SettingsError[]> {
  try {
    return ok({ file, table: parse(text) as Table });
  } catch (error) {
    const line = error instanceof TomlError ? `line ${error.line}` : "(file)";
    return err([{
      file,
      key: line,
      found: errorMessage(error).split("\n")[0],
      expected: "valid TOML",
    }]);
  }
}

/** Calls `visit` with the dotted key of each value that is not a table. */
function visitLeafKeys(
  value: unknown,
  key: string,
  visit: (key: string) => void,
): void {
  if (
    typeof value === "object" && value !== null && !Array.isArray(value)
  ) {
    for (const [name, child] of Object.entries(value)) {
      visitLeafKeys(child, key ? `${key}.${name}` : name, visit);
    }
    return;
  }
  visit(key);
}

function findRepeatedDomains(site: Site, file: string): SettingsError[] {
  const seen = new Set<string>();
  const repeated = site.domains.filter((domain) => {
    const known = seen.has(domain);
    seen.add(domain);
    return known;
  });
  return repeated.map((domain) => ({
    file,
    key: "domains",
    found: `"${domain}" twice`,
    expected: "each failure domain once",
  }));
}

/** Merges a base file with an optional overlay and validates the result. */
export function checkSite(
  base: Source,
  overlay: Source = { file: "(no overlay)", table: {} },
): Result<CheckedSite, SettingsError[]> {
  const merged = mergeOverlay(base, overlay);
  const findFile = (path: readonly PropertyKey[]): string => {
    const key = path.map(String).join(".");
    const exact = merged.origins.get(key);
    if (exact) {
      return exact;
    }
    const descendant = [...merged.origins].find(([name]) =>
      name.startsWith(`${key}.`)
    );
    return descendant?.[1] ?? base.file;
  };
  const parsed = siteSchema.safeParse(merged.table);
  if (!parsed.success) {
    return err([
      ...merged.errors,
      ...toSettingsErrors(siteSchema, {
        value: merged.table,
        issues: parsed.error.issues,
        findFile,
      }),
    ]);
  }
  const site = parsed.data;
  const errors = [
    ...merged.errors,
    ...findRepeatedDomains(site, findFile(["domains"])),
    ...[...findRouteViolations(site), ...findWorkspaceViolations(site)].map((
      violation,
    ) => ({
      ...violation,
      file: findFile(violation.key.split(".")),
    })),
  ];
  if (errors.length > 0) {
    return err(errors);
  }
  const origins = new Map<string, string>();
  visitLeafKeys(site, "", (key) => {
    origins.set(key, merged.origins.get(key) ?? "default");
  });
  return ok({ site, origins });
}

/** Reads a base file and an optional overlay, merges and validates them. */
export function loadSite(
  baseFile: string,
  overlayFile?: string,
): Result<CheckedSite, SettingsError[]> {
  const base = readSource(baseFile);
  const overlay = overlayFile ? readSource(overlayFile) : undefined;
  if (base.isErr() || overlay?.isErr()) {
    return err([
      ...(base.isErr() ? base.error : []),
      ...(overlay?.isErr() ? overlay.error : []),
    ]);
  }
  return checkSite(base.value, overlay?._unsafeUnwrap());
}

/** Reads and validates the settings of a process. */
export function loadProcess(
  file: string,
): Result<ProcessSettings, SettingsError[]> {
  return readSource(file).andThen((source) =>
    validateTable(processSchema, source)
  );
}

function validateTable<T>(
  schema: z.ZodType<T>,
  source: Source,
): Result<T, SettingsError[]> {
  const parsed = schema.safeParse(source.table);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(toSettingsErrors(schema, {
    value: source.table,
    issues: parsed.error.issues,
    findFile: () => source.file,
  }));
}
