import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createSlowNotice } from "./slow_notice.ts";

test("only attempts that began after the last good report are told", async (t) => {
  const timer = createFakeTimer();
  const notice = createSlowNotice(timer);
  const told: string[] = [];
  const begin = (name: string) => notice.begin(() => told.push(name));
  begin("early");
  await timer.advance(10);
  notice.report(1);
  await timer.advance(10);
  begin("late");
  begin("ended")();
  await timer.advance(10);
  notice.report(5);
  t.same(told, ["late"]);
  begin("begun while it was known to be slow");
  notice.report(5);
  t.same(told, ["late"], "the sender knew what it did");
});
