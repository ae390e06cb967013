/** Guards against closing connections that could be read in time, and against keeping those that could not. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import { decideReach, isCatchingUp, type Backlog } from "./backlog.js";
import { MAX_RISING_MS } from "./constants.js";

describe("decideReach", () => {
  it("keeps exactly those that are read within the limit one after the other (property)", () => {
    const inputs = fc.record({
      waitedFor: fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 100 }),
      limit: fc.integer({ min: 1, max: 600 }),
      readingTime: fc.integer({ min: 0, max: 30 }),
    });
    fc.assert(
      fc.property(inputs, ({ waitedFor, limit, readingTime }) => {
        const sorted = waitedFor.toSorted((a, b) => b - a);
        const reasons = decideReach(sorted, { limit, readingTime });
        let kept = 0;
        for (const [i, reason] of reasons.entries()) {
          const isInTime = sorted[i]! + kept * readingTime <= limit;
          expect(reason === undefined).toBe(isInTime);
          expect(reason === "waited_too_long").toBe(sorted[i]! > limit);
          if (isInTime) kept += 1;
        }
      }),
      { numRuns: 200, seed: 1 },
    );
  });

  it("goes by the time that has passed alone if the time of a reading was not measured", () => {
    const reasons = decideReach([300, 250, 0], { limit: 250, readingTime: undefined });
    expect(reasons).toEqual(["waited_too_long", undefined, undefined]);
  });
});

describe("isCatchingUp", () => {
  const burst: Backlog = { count: 100, age: 3_000, limit: 10_000 as Ms };
  it.each<[string, Backlog, number, boolean, boolean]>([
    ["the connections become fewer", burst, 101, false, true],
    ["they become no fewer", burst, 100, false, false],
    ["some were closed", burst, 101, true, false],
    ["none wait", { ...burst, count: 0 }, 101, false, false],
    ["they have just begun to come", { ...burst, age: 100 }, 0, false, true],
    ["that was long ago", { ...burst, age: MAX_RISING_MS }, 0, false, false],
    ["callers wait less long", { ...burst, age: 100, limit: 90 as Ms }, 0, false, false],
    ["nobody knows that", { ...burst, age: 100, limit: undefined }, 0, false, true],
  ])("%s", (_, backlog, countBefore, isHeldBack, expected) => {
    expect(isCatchingUp(backlog, countBefore, isHeldBack)).toBe(expected);
  });
});
