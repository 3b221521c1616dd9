import { test } from "tap";
import { createLogger, formatValue } from "./logger.ts";

test("a log event is one line of quoted key=value pairs", (t) => {
  const lines: string[] = [];
  const logger = createLogger({
    write: (line) => lines.push(line),
    wallTime: () => 0,
  }).with({ vm: "vm1" });
  logger.warn("node.cut", { cause: 'said "no"\nand left', port: 7000 });
  t.same(lines, [
    "time=1970-01-01T00:00:00.000Z level=warn event=node.cut vm=vm1 " +
    'cause="said \\"no\\"\\nand left" port=7000',
  ]);
  t.end();
});

test("only values with special characters are quoted", (t) => {
  t.equal(formatValue("10.0.0.1:7000"), "10.0.0.1:7000");
  t.equal(formatValue(""), '""');
  t.equal(formatValue("a=b"), '"a=b"');
  t.end();
});
