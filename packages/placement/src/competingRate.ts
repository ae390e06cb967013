/** How many placements other boxes make that this one does not see yet. Pure but for the times handed in. */
import type { Ms } from "@stairgauge/common";

/**
 * Time from a placement to its being seen by all others. At 66 boxes up to nine of them chose one new engine within 50 ms,
 * none seeing the others.
 */
const BLIND_MS = 30;

/** Over which placements are counted; shorter than a burst, long enough for a few even at small sites. */
const MEMORY_MS = 2_000;

/** Counts what others tell of their placements. */
export type CompetingRate = Readonly<{
  /** Another box has told of new placements. */
  record: (count: number, now: Ms) => void;
  /** Placements made elsewhere and not seen here, as expected now. */
  estimate: (now: Ms) => number;
}>;

/** Creates a rate of nothing. */
export const createCompetingRate = (): CompetingRate => {
  let weight = 0;
  let countedAt = 0;

  const computeWeight = (now: Ms) => weight * Math.exp((countedAt - now) / MEMORY_MS);

  return {
    record: (count, now) => {
      weight = computeWeight(now) + count;
      countedAt = now;
    },
    estimate: (now) => (computeWeight(now) / MEMORY_MS) * BLIND_MS,
  };
};
