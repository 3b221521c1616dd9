/**
 * Reading and checking of settings files.
 * @module
 */
import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { errorMessage } from "../core/errors.ts";
import { mergeOverlay, type Source, type Table } from "./merge.ts";
import { type Mistake, mistakesOf } from "./mistakes.ts";
import { processSchema, type ProcessSettings } from "./process.ts";
import { brokenRouteRules } from "./route_rules.ts";
import { type Site, siteSchema } from "./site.ts";

/** A checked site with the origin of each value. */
export interface CheckedSite {
  /** The site with defaults filled in. */
  site: Site;
  /** For each dotted key: the file it came from, or `default`. */
  origins: Map<string, string>;
}

/** Reads a TOML file. */
export function readSource(file: string): Result<Source, Mistake[]> {
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
): Result<Source, Mistake[]> {
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

function flatten(
  value: unknown,
  key: string,
  visit: (key: string) => void,
): void {
  if (
    typeof value === "object" && value !== null && !Array.isArray(value)
  ) {
    for (const [name, child] of Object.entries(value)) {
      flatten(child, key ? `${key}.${name}` : name, visit);
    }
    return;
  }
  visit(key);
}

function checkDomains(site: Site, file: string): Mistake[] {
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

/** Merges and checks a base file with an optional overlay. */
export function checkSite(
  base: Source,
  overlay: Source = { file: "(no overlay)", table: {} },
): Result<CheckedSite, Mistake[]> {
  const merged = mergeOverlay(base, overlay);
  const fileOf = (path: readonly PropertyKey[]): string => {
    const key = path.map(String).join(".");
    const exact = merged.origins.get(key);
    if (exact) {
      return exact;
    }
    const below = [...merged.origins].find(([name]) =>
      name.startsWith(`${key}.`)
    );
    return below?.[1] ?? base.file;
  };
  const parsed = siteSchema.safeParse(merged.table);
  if (!parsed.success) {
    return err([
      ...merged.mistakes,
      ...mistakesOf(siteSchema, {
        value: merged.table,
        issues: parsed.error.issues,
        fileOf,
      }),
    ]);
  }
  const site = parsed.data;
  const mistakes = [
    ...merged.mistakes,
    ...checkDomains(site, fileOf(["domains"])),
    ...brokenRouteRules(site).map((rule) => ({
      ...rule,
      file: fileOf(rule.key.split(".")),
    })),
  ];
  if (mistakes.length > 0) {
    return err(mistakes);
  }
  const origins = new Map<string, string>();
  flatten(site, "", (key) => {
    origins.set(key, merged.origins.get(key) ?? "default");
  });
  return ok({ site, origins });
}

/** Reads, merges and checks a base file and an optional overlay. */
export function loadSite(
  baseFile: string,
  overlayFile?: string,
): Result<CheckedSite, Mistake[]> {
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

/** Reads and checks a process's own settings. */
export function loadProcess(
  file: string,
): Result<ProcessSettings, Mistake[]> {
  return readSource(file).andThen((source) =>
    checkTable(processSchema, source)
  );
}

function checkTable<T>(
  schema: z.ZodType<T>,
  source: Source,
): Result<T, Mistake[]> {
  const parsed = schema.safeParse(source.table);
  if (parsed.success) {
    return ok(parsed.data);
  }
  return err(mistakesOf(schema, {
    value: source.table,
    issues: parsed.error.issues,
    fileOf: () => source.file,
  }));
}
