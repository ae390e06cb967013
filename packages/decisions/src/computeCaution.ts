/** How much memory is kept free when a request of a tier is placed. */
import {
  CAUTION_BEST,
  CAUTION_LAST,
  CAUTION_LOST_BY_WAITING,
  CAUTION_MIDDLE,
} from "./constants.js";

/**
 * Standard deviations of the forecast to keep free. Better tiers are let in on less, and a request
 * that has waited long is let in on less and less, so that the last tier still moves.
 */
export const computeCaution = (options: {
  readonly rank: number;
  /** Rank of the bundle's last tier. */
  readonly lastRank: number;
  /** Share of the tier's deadline that the request has waited. */
  readonly waitedShare: number;
}): number => {
  const { rank, lastRank, waitedShare } = options;
  if (rank === lastRank && lastRank > 0)
    return CAUTION_LAST * Math.max(0, 1 - waitedShare);
  const own = rank === 0 ? CAUTION_BEST : CAUTION_MIDDLE;
  return own - CAUTION_LOST_BY_WAITING * waitedShare;
};
