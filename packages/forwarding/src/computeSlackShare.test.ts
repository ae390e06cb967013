import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { computeSlackShare } from "./computeSlackShare.js";

describe("computeSlackShare", () => {
  it("returns 0 while the number of boxes is unknown", () => {
    expect(computeSlackShare(54, 0)).toBe(0);
  });

  it("keeps the sum of all shares within the slack if 20 % more boxes run than are listed", () => {
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
