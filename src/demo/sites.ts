/**
 * The backend servers of both example sites, and the calls that the demo makes.
 * @module
 */
import type { Random } from "../core/random.ts";

/** A kind of call that the demo makes. */
export interface DemoCall {
  method: "GET" | "POST";
  class: string;
  /** Whether each call carries an idempotency key. */
  keyed: boolean;
  path: (random: Random) => string;
}

/** What the demo of a site starts and calls. */
export interface DemoSite {
  /** Number and limits of backend servers, by service. */
  servers: Record<
    string,
    { count: number; slots: number; connections: number }
  >;
  /** Kinds of call, one of which is picked at random for each call. */
  calls: DemoCall[];
}

const IDS = 10_000;

function createRead(prefix: string, className: string): DemoCall {
  return {
    method: "GET",
    class: className,
    keyed: false,
    path: (random) => `${prefix}/${random.integer(IDS)}`,
  };
}

function createSubmit(path: string, className: string): DemoCall {
  return { method: "POST", class: className, keyed: true, path: () => path };
}

const SITES: Record<string, DemoSite> = {
  rajkot: {
    servers: {
      billing: { count: 6, slots: 12, connections: 240 },
      records: { count: 4, slots: 12, connections: 240 },
    },
    calls: [
      createRead("/billing/accounts", "lookup"),
      createRead("/records/readings", "lookup"),
      createRead("/records/readings", "lookup"),
      createSubmit("/billing/payments", "payment"),
    ],
  },
  sambirano: {
    servers: {
      lots: { count: 7, slots: 17, connections: 260 },
      documents: { count: 4, slots: 17, connections: 260 },
    },
    calls: [
      createRead("/lots", "lookup"),
      createRead("/lots", "lookup"),
      createRead("/documents", "document"),
      createSubmit("/lots/contracts", "contract"),
    ],
  },
};

/** Returns what the demo of an example site starts and calls. */
export function getDemoSite(name: string): DemoSite {
  return SITES[name];
}
