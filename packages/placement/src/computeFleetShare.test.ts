/**
 * Scenario: a server comes back cold and empty, so that it looks the best to every box at the same
 * moment, but can handle only a few requests per second. All boxes together must keep the bound
 * whichever of them are running, without messages between them.
 */
import { describe, expect, it } from "vitest";
import fc from "fast-check";
import type { ServerId } from "@stairgauge/directory";
import { computeFleetShare } from "./computeFleetShare.js";

const sumShares = (bound: number, boxes: number, isPlacedByFirst: boolean, id: string) =>
  Array.from({ length: boxes }, (_, rank) =>
    computeFleetShare(bound, { rank, boxes, isPlacedByFirst }, id as ServerId),
  ).reduce((sum, share) => sum + share, 0);

describe("computeFleetShare", () => {
  it("gives all boxes together exactly the bound, for any bound and number of boxes (property)", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 400 }),
        fc.integer({ min: 1, max: 500 }),
        fc.boolean(),
        fc.string(),
        (bound, boxes, isPlacedByFirst, id) => {
          expect(sumShares(bound, boxes, isPlacedByFirst, id)).toBe(bound);
        },
      ),
      { seed: 5, numRuns: 300 },
    );
  });

  it("never exceeds a fractional bound", () => {
    expect(sumShares(35.9, 64, true, "e")).toBe(35);
  });

  it("gives the first box, which places for the others, most of what a cold server can handle within the time to send", () => {
    const [perSecond, bound, secondsToSend] = [20, 35, 1.4];
    const part = { rank: 0, boxes: 64, isPlacedByFirst: true };
    const share = computeFleetShare(bound, part, "e" as ServerId);
    expect(share / secondsToSend).toBeGreaterThanOrEqual(0.8 * perSecond);
  });

  it("gives one request each to as many boxes as the bound allows, and to different boxes for another server", () => {
    const listBoxesWithPart = (id: string) =>
      Array.from({ length: 64 }, (_, rank) => rank).filter(
        (rank) =>
          computeFleetShare(
            35,
            { rank, boxes: 64, isPlacedByFirst: false },
            id as ServerId,
          ) === 1,
      );
    expect(listBoxesWithPart("a")).toHaveLength(35);
    expect(listBoxesWithPart("b")).not.toEqual(listBoxesWithPart("a"));
  });
});
