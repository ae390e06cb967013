import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { createCompetingRate } from "./index.js";

describe("createCompetingRate", () => {
  it("expects none if none are reported, and drops old placements", () => {
    const rate = createCompetingRate();
    expect(rate.estimate(5_000 as Ms)).toBe(0);
    rate.record(30, 5_000 as Ms);
    expect(rate.estimate(5_000 as Ms)).toBeGreaterThan(0.4);
    expect(rate.estimate(25_000 as Ms)).toBeLessThan(0.001);
  });

  it("estimates the placements made during the propagation time", () => {
    const rate = createCompetingRate();
    const PER_SECOND = 40;
    for (let at = 0; at < 20_000; at += 1_000 / PER_SECOND) rate.record(1, at as Ms);
    expect(rate.estimate(20_000 as Ms)).toBeCloseTo(PER_SECOND * 0.03, 1);
  });
});
