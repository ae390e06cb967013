/** Guards against an error of each step of a loop that fills the log, and against one without its stack. */
import { expect, it } from "vitest";
import { createLineLog } from "./lineLog.testkit.js";
import { createUnexpectedErrorReporter } from "./reportUnexpected.js";

it("logs an error with its stack the first, tenth and hundredth time", () => {
  const lines: unknown[] = [];
  const report = createUnexpectedErrorReporter(
    createLineLog((event, fields) => lines.push({ event, ...fields })),
  );
  const error = new Error("odd");
  for (let i = 0; i < 150; i += 1) report(error, { table: "t" });
  report("no error");
  const line = { event: "unexpected_error", error: error.stack, table: "t" };
  expect(lines).toEqual([
    { ...line, times: 1 },
    { ...line, times: 10 },
    { ...line, times: 100 },
    { event: "unexpected_error", error: "no error", times: 1 },
  ]);
});
