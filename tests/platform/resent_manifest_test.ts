/**
 * A manifest that is sent again to another control replica. One replica submits
 * it by the parts that differ, one that lags behind submits all of it; both must
 * count as the same change, or an acknowledged change would be refused.
 */
import { Packr } from "msgpackr";
import { test } from "tap";
import { formatManifest, parseManifest } from "../../platform/manifest.ts";
import { boundsSchema } from "../../platform/settings.ts";
import { buildSite } from "../../platform/site.ts";
import { hashAction } from "../../src/control/amendments.ts";
import { changeSchema } from "../../src/control/commands.ts";
import { fakeChange } from "../../src/control/fake_change.ts";
import { prepareHashes } from "../../src/core/hash.ts";
import { createManifest } from "./harness.ts";

await prepareHashes();

test("a manifest has one digest, before and after its way to the log", (t) => {
  const packr = new Packr({ useRecords: false });
  const manifest = parseManifest(createManifest("00000002"))._unsafeUnwrap();
  const action = {
    kind: "configure" as const,
    site: buildSite(manifest, {
      bounds: boundsSchema.parse({}),
      domains: ["east"],
    })._unsafeUnwrap(),
    document: formatManifest(manifest),
  };
  const received = packr.unpack(packr.pack(fakeChange({ action })));
  const logged = changeSchema.parse(received);
  t.equal(hashAction(logged.action), hashAction(action));
  t.end();
});
