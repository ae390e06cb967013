/** Acceptance rule for the requests that reach a server after it has announced a rate limit. */

/** A request as the server received it; times in milliseconds of one monotonic clock. */
export type CountedArrival = Readonly<{
  /** Index of the box that sent the request to the server. */
  box: number;
  /** When it reached the server. */
  at: number;
  /** The answer announces the limit. */
  hasSignal: boolean;
}>;

/** The limit must hold from this time after the server's first announcement on. */
export const LIMIT_CONTACT_MS = 3_000;
/** A box's requests count from this time after its first answer with the limit on. */
const BOX_CONTACT_MS = 500;

/** In any window of this length a server may receive `OVERAGE` times what its limit allows, plus `SLACK` requests. */
const WINDOW_MS = 4_000;
const OVERAGE = 1.5;
const SLACK = 5;

const MS_PER_S = 1_000;

/** Returns how many requests a server with this limit may receive in one window. */
export const computeMaxRequests = (perSecond: number): number =>
  Math.floor((perSecond * OVERAGE * WINDOW_MS) / MS_PER_S + SLACK);

/** Returns for each box when its first request arrived that was answered with the limit. */
const findAnnouncedAt = (
  arrivals: readonly CountedArrival[],
): ReadonlyMap<number, number> => {
  const announcedAt = new Map<number, number>();
  for (const { box, at, hasSignal } of arrivals)
    if (hasSignal && !announcedAt.has(box)) announcedAt.set(box, at);
  return announcedAt;
};

/**
 * Returns the highest number of requests in any window. Only windows that end with a request at least `LIMIT_CONTACT_MS` after
 * the server first announced its limit count, and in them only requests of boxes that received the limit at least
 * `BOX_CONTACT_MS` before the window's end.
 */
export const countMaxInWindow = (arrivals: readonly CountedArrival[]): number => {
  const sorted = arrivals.toSorted((a, b) => a.at - b.at);
  const announcedAt = findAnnouncedAt(sorted);
  const firstAt = Math.min(...announcedAt.values());
  let from = 0;
  return sorted.reduce((max, { at: end }, i) => {
    while (sorted[from]!.at <= end - WINDOW_MS) from += 1;
    if (end < firstAt + LIMIT_CONTACT_MS) return max;
    const isCounted = ({ box }: CountedArrival) =>
      (announcedAt.get(box) ?? Infinity) <= end - BOX_CONTACT_MS;
    return Math.max(max, sorted.slice(from, i + 1).filter(isCounted).length);
  }, 0);
};
