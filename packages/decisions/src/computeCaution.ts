/** Computes how much memory is kept free when a request is placed. */
import {
  CAUTION_BEST,
  CAUTION_LAST,
  CAUTION_LOST_BY_WAITING,
  CAUTION_MIDDLE,
} from "./constants.js";

/**
 * Memory to keep free, in standard deviations of the forecast; negative lets a request in beyond the
 * forecast. Better tiers need less free memory. Every request needs less the longer it waits, so that
 * the last tier is served as well.
 */
export const computeCaution = (options: {
  /** Rank of the request's tier. */
  readonly rank: number;
  /** Rank of the bundle's last tier. */
  readonly lastRank: number;
  /** Share of the tier's deadline that the request has waited; 1 at the deadline. */
  readonly waitedShare: number;
}): number => {
  const { rank, lastRank, waitedShare } = options;
  if (rank === lastRank && lastRank > 0)
    return CAUTION_LAST * Math.max(0, 1 - waitedShare);
  const initial = rank === 0 ? CAUTION_BEST : CAUTION_MIDDLE;
  return initial - CAUTION_LOST_BY_WAITING * waitedShare;
};
