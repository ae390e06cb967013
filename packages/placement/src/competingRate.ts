/**
 * Estimates how many placements other boxes have made that this box hasn't received yet. Pure but
 * for the times passed in.
 */
import type { Ms } from "@stairgauge/common";

/**
 * Time until a placement has been received by all other boxes. With 66 boxes, up to nine of them
 * chose the same new engine within 50 ms, none having received the others' placements.
 */
const PROPAGATION_MS = 30;

/**
 * Decay time of the counted placements: shorter than a burst, but long enough for a few placements
 * even at small sites.
 */
const DECAY_MS = 2_000;

/** Rate of the placements reported by other boxes. */
export type CompetingRate = Readonly<{
  /** Records new placements reported by another box. */
  record: (count: number, now: Ms) => void;
  /** Returns the expected number of placements by other boxes that this box hasn't received yet. */
  estimate: (now: Ms) => number;
}>;

/** Creates a rate of 0. */
export const createCompetingRate = (): CompetingRate => {
  let weight = 0;
  let countedAt = 0;

  const computeWeight = (now: Ms) => weight * Math.exp((countedAt - now) / DECAY_MS);

  return {
    record: (count, now) => {
      weight = computeWeight(now) + count;
      countedAt = now;
    },
    estimate: (now) => (computeWeight(now) / DECAY_MS) * PROPAGATION_MS,
  };
};
