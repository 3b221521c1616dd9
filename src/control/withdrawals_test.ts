import { test } from "tap";
import { createWithdrawals } from "./withdrawals.ts";

test("a domain or a server stays out of service until it is returned", (t) => {
  const withdrawals = createWithdrawals({ domainsOut: [], serversOut: [] });
  const out = withdrawals.perform(
    { kind: "domain_out", domain: "east" },
    3,
  );
  t.same(out, [{ key: "domains.east.out", before: false, after: true }]);
  withdrawals.perform({ kind: "server_out", server: "vm1" }, 4);
  const stored = {
    domainsOut: ["east"],
    serversOut: ["vm1"],
    domainVersions: [["east", 3]] as [string, number][],
  };
  t.same(withdrawals.stored(), stored);

  const restored = createWithdrawals(stored);
  const back = restored.perform({ kind: "server_back", server: "vm1" }, 5);
  t.same(back, [{ key: "servers.vm1.out", before: true, after: false }]);
  t.same([...restored.servers], []);
  t.same([...restored.domains], ["east"]);
  t.equal(restored.domainVersion("east"), 3);
  t.equal(restored.domainVersion("west"), 0);
  t.end();
});
