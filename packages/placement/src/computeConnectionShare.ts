/** How many connections to one server a box may hold of those that all boxes share. Pure. */

/** Connections that a box keeps free at each server for reports and for copies of runs. */
const KEPT_FREE = 2;

/** A box alone among many still gets work through. */
const MIN_SHARE = 1;

/** Divides a server's limit among the boxes known; without a limit there is none for the box either. */
export const computeConnectionShare = (
  limit: number | undefined,
  boxes: number,
): number => {
  if (limit === undefined) return Infinity;
  return Math.max(MIN_SHARE, Math.floor(limit / Math.max(1, boxes)) - KEPT_FREE);
};
