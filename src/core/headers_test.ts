import { test } from "tap";
import { type HeaderList, removeHopByHopHeaders } from "./headers.ts";

test("headers that a connection header lists are not passed on", (t) => {
  t.same(
    removeHopByHopHeaders([
      ["host", "a"],
      ["connection", "close, X-One"],
      ["x-one", "1"],
      ["x-two", "2"],
      ["te", "trailers"],
    ]),
    [["host", "a"], ["x-two", "2"]],
  );
  t.end();
});

test("thousands of listed names are not compared with thousands of headers", (t) => {
  const headers: HeaderList = Array.from(
    { length: 1_000 },
    (_, index) => [`x-${index}`, ""],
  );
  const listed = Array.from({ length: 4_000 }, () => "a").join();
  let compared = 0;
  const includes = Array.prototype.includes;
  t.intercept(Array.prototype, "includes", {
    value(this: unknown[], value: unknown) {
      compared += this.length;
      return includes.call(this, value);
    },
  });
  const kept = removeHopByHopHeaders([["connection", listed], ...headers]);
  t.equal(kept.length, headers.length);
  t.ok(compared < 10_000, `${compared} comparisons`);
  t.end();
});
