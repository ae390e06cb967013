/** Guards against a log that bad rows of the store fill: more of them than the record holds, or one that is written often. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createRowFaultReporter } from "./reportRowFaults.js";

const setUp = () => {
  const clock = createVirtualClock();
  const lines: Record<string, unknown>[] = [];
  let counted = 0;
  const report = createRowFaultReporter({
    clock,
    log: { writeWarning: (_event, fields) => lines.push(fields) },
    metrics: { unreadableRows: { inc: () => (counted += 1) } } as never,
  });
  const reportRow = (key: string, version = 1, table = "servers") =>
    report({ table, key, fault: "value", version });
  return { clock, lines, reportRow, countRows: () => counted };
};

describe("createRowFaultReporter", () => {
  it.each<[string, (i: number) => readonly [string, number]]>([
    ["more bad rows than its record holds", (i) => [`k${i % 2_000}`, 1]],
    ["a bad row that is written often", (i) => ["k", i]],
  ])("logs at most a burst and a line a second for %s", (_, toRow) => {
    const { clock, lines, reportRow, countRows } = setUp();
    for (let i = 0; i < 10_000; i += 1) {
      reportRow(...toRow(i));
      clock.advance(1 as Ms);
    }
    expect(lines).toHaveLength(32 + 9);
    expect(countRows()).toBe(10_000);
  });

  it("says how many rows of the table it left out, and logs other tables as before", () => {
    const { clock, lines, reportRow } = setUp();
    for (let i = 0; i < 40; i += 1) reportRow(`k${i}`);
    reportRow("k", 1, "operator");
    expect(lines.at(-1)).toMatchObject({ table: "operator", leftOut: 0 });
    clock.advance(1_000 as Ms);
    reportRow("k40");
    expect(lines.at(-1)).toMatchObject({ table: "servers", key: "k40", leftOut: 8 });
    expect(lines).toHaveLength(34);
  });
});
