import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createSlowNotice } from "./slow_notice.ts";

test("only attempts that started after the last fast report are notified", async (t) => {
  const timer = createFakeTimer();
  const notice = createSlowNotice(timer);
  const notified: string[] = [];
  const begin = (name: string) => notice.begin(() => notified.push(name));
  begin("early");
  await timer.advance(10);
  notice.report(1);
  await timer.advance(10);
  begin("late");
  begin("ended")();
  await timer.advance(10);
  notice.report(5);
  t.same(notified, ["late"]);
  begin("started while known to be slow");
  notice.report(5);
  t.same(notified, ["late"], "the server was already known to be slow");
});
