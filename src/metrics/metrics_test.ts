import { test } from "tap";
import { createMetrics } from "./metrics.ts";

test("labelled counters and timings appear in the text format", (t) => {
  const metrics = createMetrics();
  metrics.countBy("guard_refusals", { name: "reason", value: "slow" });
  metrics.countBy("guard_refusals", { name: "reason", value: "slow" });
  metrics.countBy("guard_refusals", { name: "reason", value: 'odd"one' });
  metrics.timing("queue_wait", "look", 12);
  metrics.timing("queue_wait", "look", 14);
  const lines = metrics.text().split("\n");
  t.ok(lines.includes('mustardcross_guard_refusals_total{reason="slow"} 2'));
  t.ok(
    lines.includes('mustardcross_guard_refusals_total{reason="odd\\"one"} 1'),
  );
  t.ok(
    lines.includes('mustardcross_queue_wait_seconds_count{class="look"} 2'),
  );
  const p99 = lines.find((line) => line.includes('quantile="0.99"'));
  t.match(p99, /^mustardcross_queue_wait_seconds\{class="look",quantile=/);
  t.ok(Math.abs(Number(p99?.split(" ")[1]) - 0.014) < 0.001, String(p99));
  t.end();
});
