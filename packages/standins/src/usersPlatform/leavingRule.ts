/** How the users count what a server gets that has said in an answer that it leaves. */

/** A request as the server got it; times in milliseconds of one steady clock. */
export type LeavingArrival = Readonly<{
  box: number;
  /** When its client sent it. */
  sentAt: number;
  at: number;
  /** Its answer says that the server leaves. */
  isTold: boolean;
}>;

/** How long after a box has passed on such an answer its clients' requests may still reach the server. */
export const LEAVING_MS = 2_000;

/** Counts the requests that clients sent to a box later than the bound after it was told, and that reached the server. */
export const countSentWhileLeaving = (arrivals: readonly LeavingArrival[]): number => {
  const toldAt = new Map<number, number>();
  for (const { box, at, isTold } of arrivals)
    if (isTold) toldAt.set(box, Math.min(at, toldAt.get(box) ?? Infinity));
  const isLate = ({ box, sentAt }: LeavingArrival) =>
    sentAt > (toldAt.get(box) ?? Infinity) + LEAVING_MS;
  return arrivals.filter(isLate).length;
};
