/** Average rate at which this box places prompt tokens; older placements weigh less. */
import type { Ms } from "@stairgauge/common";
import { PLACEMENT_RATE_TIME_CONSTANT_MS } from "./constants.js";

/** Rate of this box's placements. */
export type PlacementRate = Readonly<{
  /** Records the placement of a prompt of `tokens`. */
  record: (tokens: number, now: Ms) => void;
  /** The rate at `now`, prompt tokens per millisecond. */
  compute: (now: Ms) => number;
}>;

/** Creates a rate of zero. */
export const createPlacementRate = (): PlacementRate => {
  let tokens = 0;
  let updatedAt = 0;
  const update = (now: Ms) => {
    tokens *= Math.exp((updatedAt - now) / PLACEMENT_RATE_TIME_CONSTANT_MS);
    updatedAt = now;
  };
  return {
    record: (placed, now) => {
      update(now);
      tokens += placed;
    },
    compute: (now) => {
      update(now);
      return tokens / PLACEMENT_RATE_TIME_CONSTANT_MS;
    },
  };
};
