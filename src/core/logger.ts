/**
 * Structured logs: one line of key=value pairs for each event.
 * @module
 */
import { createConsola } from "consola";

/** A value that a log event may carry. */
export type LogValue = string | number | boolean | undefined;

/** Writes log events; all components of a process share one logger. */
export interface Logger {
  /** Logs an ordinary event. */
  info(event: string, fields?: Record<string, LogValue>): void;
  /** Logs an event that an operator should look at. */
  warn(event: string, fields?: Record<string, LogValue>): void;
  /** Logs a failure that keeps something from working. */
  error(event: string, fields?: Record<string, LogValue>): void;
  /** Returns a logger that adds the given fields to each event. */
  with(fields: Record<string, LogValue>): Logger;
}

const PLAIN_VALUE = /^[A-Za-z0-9_.:/@+-]+$/;

/** Formats a value; one with other than plain characters is quoted as JSON. */
export function formatValue(value: LogValue): string {
  const text = String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as `key=value` pairs, in the order of their keys. */
export function formatFields(fields: Record<string, LogValue>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(" ");
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Receives each formatted line; by default it goes to standard output. */
  write?: (line: string) => void;
  /** Returns the time of an event in Unix milliseconds. */
  wallTime?: () => number;
  /** Fields that are added to every event. */
  fields?: Record<string, LogValue>;
}

/** Creates a logger that writes one line per event through consola. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const write = options.write ?? ((line) => process.stdout.write(line + "\n"));
  const wallTime = options.wallTime ?? Date.now;
  const consola = createConsola({
    level: 3,
    throttle: 0,
    reporters: [{ log: (entry) => write(String(entry.args[0])) }],
  });

  function bind(boundFields: Record<string, LogValue>): Logger {
    function formatLine(
      level: string,
      event: string,
      fields: Record<string, LogValue> = {},
    ): string {
      const time = new Date(wallTime()).toISOString();
      return formatFields({ time, level, event, ...boundFields, ...fields });
    }
    return {
      info: (event, fields) => consola.info(formatLine("info", event, fields)),
      warn: (event, fields) => consola.warn(formatLine("warn", event, fields)),
      error: (event, fields) =>
        consola.error(formatLine("error", event, fields)),
      with: (fields) => bind({ ...boundFields, ...fields }),
    };
  }
  return bind(options.fields ?? {});
}

/** A logger that discards all events, for embedded use and for tests. */
export const silentLogger: Logger = {
  info: () => {},
  warn: () => {},
  error: () => {},
  with: () => silentLogger,
};
