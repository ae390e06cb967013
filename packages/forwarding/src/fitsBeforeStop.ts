/** Whether a request can still be served by a box that stops. Pure. */
import type { Ms } from "@stairgauge/common";
import { computeTimeLimit, type Route } from "@stairgauge/routing";
import { computeDemand } from "./computeDemand.js";
import type { RequestHead } from "./types.js";

/** Clients may still be sent here for this long; later a request must be certain to end in time. */
const STILL_FOUND_MS = 2_500;

/** Time to the first event of a generation on a busy engine; p99 of the users' sites. */
const FIRST_EVENT_MS = 1_500;

/** Time that a token takes on a busy engine; from the users' sites, 10 ms and half as much again. */
const TOKEN_MS = 15;

/** What the decision is made from. */
export type StopInputs = Readonly<{
  announcedAt: Ms;
  endsAt: Ms;
  now: Ms;
  head: RequestHead;
  route: Route;
}>;

const estimateTime = ({ head, route, now, announcedAt }: StopInputs): number => {
  const limit = computeTimeLimit(route, head.patience);
  const { tokens } = computeDemand({ head, route });
  const isLate = now - announcedAt > STILL_FOUND_MS;
  if (isLate || !tokens) return limit;
  return Math.min(limit, FIRST_EVENT_MS + tokens.expectedOut * TOKEN_MS);
};

/** Decides by the time that the request will probably take, later by the longest that it may take. */
export const fitsBeforeStop = (inputs: StopInputs): boolean =>
  inputs.now + estimateTime(inputs) <= inputs.endsAt;
