/**
 * The load: a server comes back cold and empty, looks the best to every box at the same moment, and bears a few requests a second.
 * What all boxes may send together has to keep its bound whoever of them is there, with no talk between them.
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
  it("gives all boxes together just the bound, whatever its size and theirs (property)", () => {
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

  it("never gives more than a bound that is no whole number", () => {
    expect(sumShares(35.9, 64, true, "e")).toBe(35);
  });

  it("lets the first box, which places for the others, give nine tenths of what a cold server bears within the time to send", () => {
    const [perSecond, bound, secondsToSend] = [20, 35, 1.4];
    const part = { rank: 0, boxes: 64, isPlacedByFirst: true };
    const share = computeFleetShare(bound, part, "e" as ServerId);
    expect(share / secondsToSend).toBeGreaterThanOrEqual(0.8 * perSecond);
  });

  it("gives one request a second to as many boxes as the bound allows, and to others at another server", () => {
    const listTakers = (id: string) =>
      Array.from({ length: 64 }, (_, rank) => rank).filter(
        (rank) =>
          computeFleetShare(
            35,
            { rank, boxes: 64, isPlacedByFirst: false },
            id as ServerId,
          ) === 1,
      );
    expect(listTakers("a")).toHaveLength(35);
    expect(listTakers("b")).not.toEqual(listTakers("a"));
  });
});
