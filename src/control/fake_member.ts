/**
 * A registered backend server for tests.
 * @module
 */
import type { Member } from "./commands.ts";

/** Returns a member; two of them differ only in their server names. */
export function createFakeMember(server: string): Member {
  return {
    server,
    service: "work",
    domain: "east",
    region: "default",
    address: `${server}:1`,
    incarnation: "one",
    boot: "boot",
    slots: 8,
    leaving: false,
  };
}
