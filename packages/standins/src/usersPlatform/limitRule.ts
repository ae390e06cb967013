/** How the users count what a server that names a limit gets, and what they allow. */

/** A request as the server got it; times in milliseconds of one steady clock. */
export type CountedArrival = Readonly<{
  box: number;
  at: number;
  /** Its answer names the limit. */
  isTold: boolean;
}>;

/** From when on a limit binds, after the server first named it, and a box, after it was told. */
export const LIMIT_CONTACT_MS = 3_000;
const TOLD_MS = 500;

/** In any span of this length a server may get one and a half times what its limit allows, and some more. */
const WINDOW_MS = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;

const MS_PER_S = 1_000;

/** Works out how many requests the server may get in the window. */
export const computeAllowed = (perSecond: number): number =>
  Math.floor((perSecond * OVERAGE * WINDOW_MS) / MS_PER_S + SLACK);

/** When each box was first told. */
const findToldAt = (arrivals: readonly CountedArrival[]): ReadonlyMap<number, number> => {
  const toldAt = new Map<number, number>();
  for (const { box, at, isTold } of arrivals)
    if (isTold && !toldAt.has(box)) toldAt.set(box, at);
  return toldAt;
};

/**
 * Counts the most requests in any window that ends with one later than the bound after the server first named its limit, from boxes
 * that it had told half a second before that end or earlier.
 */
export const countMostFromTold = (arrivals: readonly CountedArrival[]): number => {
  const sorted = arrivals.toSorted((a, b) => a.at - b.at);
  const toldAt = findToldAt(sorted);
  const firstAt = Math.min(...toldAt.values());
  let from = 0;
  return sorted.reduce((most, { at: end }, i) => {
    while (sorted[from]!.at <= end - WINDOW_MS) from += 1;
    if (end < firstAt + LIMIT_CONTACT_MS) return most;
    const isCounted = ({ box }: CountedArrival) =>
      (toldAt.get(box) ?? Infinity) <= end - TOLD_MS;
    return Math.max(most, sorted.slice(from, i + 1).filter(isCounted).length);
  }, 0);
};
