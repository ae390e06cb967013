/** Acceptance rule for the requests that a box sends to a server during a backoff that the server has asked for. */

/** A request as the server received it; times in milliseconds of one monotonic clock. */
export type BackoffArrival = Readonly<{
  /** Index of the box that sent the request to the server. */
  box: number;
  /** When it reached the server. */
  at: number;
  /** The server refused it and asked for a backoff. */
  isRefused: boolean;
}>;

/** Requests that a box may send to the server during one backoff. */
export const MAX_REQUESTS_IN_BACKOFF = 2;
/** Requests that arrive within this time after the refusal are not counted. */
const BACKOFF_GRACE_MS = 500;

const MS_PER_S = 1_000;

/** Returns the highest number of requests from one box during one backoff of `backoffSeconds`; each refusal begins a backoff. */
export const countMaxInBackoff = (
  arrivals: readonly BackoffArrival[],
  backoffSeconds: number,
): number => {
  const counts = arrivals
    .filter(({ isRefused }) => isRefused)
    .map(({ box, at: refusedAt }) => {
      const from = refusedAt + BACKOFF_GRACE_MS;
      const to = refusedAt + backoffSeconds * MS_PER_S;
      return arrivals.filter((one) => one.box === box && one.at > from && one.at < to)
        .length;
    });
  return Math.max(0, ...counts);
};
