import { test } from "tap";
import { createFakeMember } from "./fake_member.ts";
import { viewSchema } from "./view.ts";

const USABLE = createFakeMember("vm1");
/** Entries that no node writes, by what is odd about them. */
const ODD_ENTRIES: Record<string, unknown> = {
  "a port out of range": { ...USABLE, address: "10.0.0.1:99999" },
  "port 0": { ...USABLE, address: "10.0.0.1:0" },
  "no port": { ...USABLE, address: "10.0.0.1" },
  "no address": { ...USABLE, address: undefined },
  "an address that is a list": { ...USABLE, address: ["10.0.0.1:7000"] },
  "a backend address out of range": {
    ...USABLE,
    backend: { address: "10.0.0.1:99999", instance: "i" },
  },
  "too many slots": { ...USABLE, slots: 1e300 },
  "no slots": { ...USABLE, slots: 0 },
  "half a slot": { ...USABLE, slots: 0.5 },
  "slots that are no number": { ...USABLE, slots: NaN },
  "no name": { ...USABLE, server: "" },
  "an endless name": { ...USABLE, domain: "d".repeat(100_000) },
  "text": "vm2",
  "nothing": null,
  "a nested list": JSON.parse("[".repeat(50) + "]".repeat(50)),
};

for (const [name, entry] of Object.entries(ODD_ENTRIES)) {
  test(`a member with ${name} is left out, and the others are kept`, (t) => {
    const others = [createFakeMember("vm0"), createFakeMember("vm2")];
    const view = viewSchema.parse({
      services: [{
        service: "work",
        revision: 1,
        members: [others[0], entry, others[1]],
      }],
    });
    const [{ members, defects }] = view.services;
    t.same(members, others);
    t.equal(defects?.length, 1);
    t.ok(defects?.[0], "the defect is named");
    t.end();
  });
}

test("a list without odd entries has no defects", (t) => {
  const { services: [part] } = viewSchema.parse({
    services: [{ service: "work", revision: 1, members: [USABLE] }],
  });
  t.same(part, { service: "work", revision: 1, members: [USABLE] });
  t.end();
});
