/** This box's share of the retry slack: the retries that all boxes together may spend beyond the retry ratio. Pure. */

/** Running boxes assumed for each listed one, and in addition: new boxes are listed with a delay. */
const UNLISTED_FACTOR = 1.25;
const UNLISTED_BOXES = 2;

/**
 * Computes this box's share of the slack. A box that has not read the list of boxes gets none: the
 * number of the others is unknown.
 */
export const computeSlackShare = (slack: number, maxBoxesSeen: number): number =>
  maxBoxesSeen === 0 ? 0 : slack / (maxBoxesSeen * UNLISTED_FACTOR + UNLISTED_BOXES);
