import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { computeConnectionShare } from "./index.js";

describe("computeConnectionShare", () => {
  it("divides a server's connections among the boxes and reserves some", () => {
    expect(computeConnectionShare(100, 7)).toBe(12);
    expect(computeConnectionShare(100, 0)).toBe(98);
    expect(computeConnectionShare(undefined, 7)).toBe(Infinity);
  });

  it("keeps the boxes together within the limit while each has more than the minimum", () => {
    fc.assert(
      fc.property(fc.nat(2_000), fc.integer({ min: 1, max: 400 }), (limit, boxes) => {
        const share = computeConnectionShare(limit, boxes);
        expect(share).toBeGreaterThanOrEqual(1);
        if (share > 1) expect(share * boxes).toBeLessThanOrEqual(limit);
      }),
    );
  });
});
