import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { computeSlackShare } from "./computeSlackShare.js";

describe("computeSlackShare", () => {
  it("spends nothing while it does not know how many share", () => {
    expect(computeSlackShare(54, 0)).toBe(0);
  });

  it("stays within the common slack while a fifth more boxes run than each has seen", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 400 }),
        fc.integer({ min: 1, max: 500 }),
        (seen, slack) => {
          const running = Math.floor(seen * 1.2);
          expect(running * computeSlackShare(slack, seen)).toBeLessThanOrEqual(slack);
        },
      ),
      { seed: 5, numRuns: 200 },
    );
  });
});
