/** How many prompt tokens this box places a millisecond, decayed. */
import type { Ms } from "@stairgauge/common";
import { PLACEMENT_RATE_MEMORY_MS } from "./constants.js";

/** The rate of this box's placements. */
export type PlacementRate = Readonly<{
  record: (tokens: number, now: Ms) => void;
  compute: (now: Ms) => number;
}>;

/** Creates a rate of nothing. */
export const createPlacementRate = (): PlacementRate => {
  let tokens = 0;
  let at = 0;
  const update = (now: Ms) => {
    tokens *= Math.exp((at - now) / PLACEMENT_RATE_MEMORY_MS);
    at = now;
  };
  return {
    record: (placed, now) => {
      update(now);
      tokens += placed;
    },
    compute: (now) => {
      update(now);
      return tokens / PLACEMENT_RATE_MEMORY_MS;
    },
  };
};
