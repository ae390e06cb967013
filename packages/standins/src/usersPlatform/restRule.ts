/** How the users count what a server gets from a box that it has asked for rest, and what they allow. */

/** A request as the server got it, in milliseconds of one steady clock. */
export type RestArrival = Readonly<{
  box: number;
  at: number;
  /** It was turned away with a rest asked for. */
  isRefused: boolean;
}>;

/** Requests that a box may send in a rest, from when on they count, and until when. */
export const MAX_IN_REST = 2;
const FROM_MS = 500;

const MS_PER_S = 1_000;

/** Counts the most requests from one box in one rest of so many seconds; each refusal begins one. */
export const countMostInRest = (
  arrivals: readonly RestArrival[],
  restSeconds: number,
): number => {
  const counts = arrivals
    .filter(({ isRefused }) => isRefused)
    .map(({ box, at: refusedAt }) => {
      const from = refusedAt + FROM_MS;
      const to = refusedAt + restSeconds * MS_PER_S;
      return arrivals.filter((one) => one.box === box && one.at > from && one.at < to)
        .length;
    });
  return Math.max(0, ...counts);
};
