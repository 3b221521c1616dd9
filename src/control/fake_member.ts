/**
 * A registered backend server for tests.
 * @module
 */
import type { Member } from "./commands.ts";

/** Returns a member that nothing but its name tells from others. */
export function fakeMember(server: string): Member {
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
