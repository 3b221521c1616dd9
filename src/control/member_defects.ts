/**
 * Checks what a member says of itself. Members are a list that every node reads:
 * an entry that no server can have is refused where it is registered, and left
 * out where it is read.
 * @module
 */
import { isConnectable } from "../network/channel.ts";
import type { Member } from "./commands.ts";

/** Most slots that one backend server has. */
export const MAX_SLOTS = 65_536;
/** Longest name of a server, a service or a failure domain. */
const MAX_NAME_LENGTH = 256;

function isName(text: string): boolean {
  return text.length > 0 && text.length <= MAX_NAME_LENGTH;
}

/** Returns why an address cannot be connected to, if it cannot. */
function findAddressDefect(
  field: string,
  address: string,
): string | undefined {
  return isConnectable(address)
    ? undefined
    : `${field} ${JSON.stringify(address)}, expected a host and a port`;
}

/** Returns why no backend server can have registered a member, if none can. */
export function findMemberDefect(member: Member): string | undefined {
  const { server, service, domain, address, slots, backend } = member;
  if (![server, service, domain].every(isName)) {
    return "a server, service or failure domain without a usable name";
  }
  const addressDefect = findAddressDefect("address", address) ??
    (backend && findAddressDefect("backend address", backend.address));
  if (addressDefect) {
    return addressDefect;
  }
  const hasSlots = Number.isInteger(slots) && slots > 0 && slots <= MAX_SLOTS;
  return hasSlots ? undefined : `${slots} slots, of at most ${MAX_SLOTS}`;
}
