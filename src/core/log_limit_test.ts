import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createRateLimitedLog } from "./log_limit.ts";
import { createLogger } from "./logger.ts";

test("a rate-limited log counts the lines that it suppressed", async (t) => {
  const timer = createFakeTimer();
  const lines: string[] = [];
  const log = createRateLimitedLog({
    logger: createLogger({ write: (line) => lines.push(line) }),
    timer,
    perSecond: 3,
  });
  for (let count = 0; count < 10; count++) {
    log.write("request.refused", { request: count });
  }
  t.equal(lines.length, 3);
  await timer.advance(1_000);
  log.write("request.refused", { request: 10 });
  t.equal(lines.length, 5);
  t.match(lines[3], /event=log.left_out lines=7/);
  t.match(lines[4], /event=request.refused request=10/);
});
