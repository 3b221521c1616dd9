/**
 * Guards against a heartbeat of another writer with a number too large or a port
 * out of range: it took the place of the server's own heartbeats, which counted
 * as outdated from then on.
 */
import { test } from "tap";
import { sendRequest, startServingHarness } from "./harness.ts";

const MAX_SAFE = Number.MAX_SAFE_INTEGER;
const BAD_REQUEST = 400;

const ODD_FIELDS: Record<string, Record<string, unknown>> = {
  "a port out of range": { address: "127.0.0.1:99999" },
  "a port that is no number": { address: "127.0.0.1:http" },
  "no port": { address: "127.0.0.1" },
  "too many slots": { slots: MAX_SAFE },
  "slots beyond any number": { slots: 1e300 },
  "no slots": { slots: 0 },
  "half a slot": { slots: 0.5 },
  "a start in the far future": { born: MAX_SAFE },
  "a start before all time": { born: -1 },
  "a start that is no number": { born: "1000" },
  "a sequence number too large": { seq: MAX_SAFE },
  "a cold start without end": { cold_remaining: `${"9".repeat(30)}s` },
  "a cold start beyond any number": { cold_remaining: `${"9".repeat(400)}s` },
  "a service in a list": { service: ["billing"] },
  "no service": { service: undefined },
  "an unknown state": { state: "asleep" },
};

test("an odd heartbeat is refused, and the server's own hold", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  for (const id of ["i-one", "i-other"]) {
    for (const [name, fields] of Object.entries(ODD_FIELDS)) {
      const odd = await harness.sendHeartbeat(fields, id);
      t.equal(odd.status, BAD_REQUEST, `${name} from ${id}`);
      t.match(odd.body, /error/, "with a reason");
      t.equal((await harness.sendHeartbeat()).status, 200);
    }
  }
  t.equal((await sendRequest(harness, "/read/x")).status, 200);
});
