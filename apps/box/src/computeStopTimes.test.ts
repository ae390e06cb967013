import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { computeStopTimes } from "./computeStopTimes.js";

const BEGUN_AT = 5_000 as Ms;

describe("the times of a stop", () => {
  // Guards against requests that are accepted until a later end than that at which the box closes its connections.
  it.each([300, 1_000, 8_000, 30_000])(
    "have answers end behind five sixths of the grace, then connections, then the process: %i ms",
    (grace) => {
      const { answersEndAt, closesAt } = computeStopTimes(BEGUN_AT, grace as Ms);
      expect(answersEndAt).toBeGreaterThan(BEGUN_AT + (grace * 5) / 6);
      expect(closesAt).toBeGreaterThan(answersEndAt);
      expect(closesAt).toBeLessThan(BEGUN_AT + grace);
    },
  );

  it("leave as much time to flush answers as a late process needs, and no more", () => {
    const { answersEndAt, closesAt } = computeStopTimes(BEGUN_AT, 30_000 as Ms);
    expect([answersEndAt, closesAt]).toEqual([34_000, 34_750]);
  });
});
