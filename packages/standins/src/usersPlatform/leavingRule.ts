/** Acceptance rule for requests that reach a server after it has announced in an answer that it is leaving. */

/** A request as the server received it; times in milliseconds of one monotonic clock. */
export type LeavingArrival = Readonly<{
  /** Index of the box that sent the request to the server. */
  box: number;
  /** When the client sent it to the box. */
  sentAt: number;
  /** When it reached the server. */
  at: number;
  /** The answer announces that the server is leaving. */
  hasSignal: boolean;
}>;

/** How long after a box has received such an answer its clients' new requests may still reach the server. */
export const LEAVING_MS = 2_000;

/** Counts the requests that reached the server although their clients sent them more than `LEAVING_MS` after the box's first such answer. */
export const countSentWhileLeaving = (arrivals: readonly LeavingArrival[]): number => {
  const announcedAt = new Map<number, number>();
  for (const { box, at, hasSignal } of arrivals)
    if (hasSignal) announcedAt.set(box, Math.min(at, announcedAt.get(box) ?? Infinity));
  const isLate = ({ box, sentAt }: LeavingArrival) =>
    sentAt > (announcedAt.get(box) ?? Infinity) + LEAVING_MS;
  return arrivals.filter(isLate).length;
};
