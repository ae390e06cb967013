/** This box's part of the repeats that all boxes together may spend beyond the share of requests. Pure. */

/** Boxes that may be there without being listed yet, or be listed late, for each that is. */
const UNLISTED_FACTOR = 1.25;
const UNLISTED_BOXES = 2;

/**
 * Divides the common slack. A box that has not seen the list of boxes yet spends none of it: how many
 * others there are is unknown.
 */
export const computeSlackShare = (slack: number, mostBoxesSeen: number): number =>
  mostBoxesSeen === 0 ? 0 : slack / (mostBoxesSeen * UNLISTED_FACTOR + UNLISTED_BOXES);
