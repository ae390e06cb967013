/** Whether a box that is about to stop can still serve a request. Pure. */
import type { Ms } from "@stairgauge/common";
import { computeTimeLimit, type Route } from "@stairgauge/routing";
import { computeDemand } from "./computeDemand.js";
import type { RequestHead } from "./types.js";

/**
 * Time after the stop is announced in which new clients may still be directed to this box. Later,
 * only requests that are certain to end in time are accepted.
 */
const DISCOVERY_LAG_MS = 2_500;

/** Time to the first event of a generation on a busy engine: the p99 measured at the operators' sites. */
const FIRST_EVENT_MS = 1_500;

/** Time per token on a busy engine: 10 ms measured at the operators' sites, plus 50 % as a margin. */
const TOKEN_MS = 15;

/** When the stop of the box was announced, and when all answers must be out, which is before its connections are closed. */
export type StopTimes = Readonly<{ announcedAt: Ms; endsAt: Ms }>;

/** Inputs of the decision. */
export type StopInputs = StopTimes &
  Readonly<{ now: Ms; head: RequestHead; route: Route }>;

const estimateTime = ({ head, route, now, announcedAt }: StopInputs): number => {
  const limit = computeTimeLimit(route, head.patience);
  const { tokens } = computeDemand({ head, route });
  const isLate = now - announcedAt > DISCOVERY_LAG_MS;
  if (isLate || !tokens) return limit;
  return Math.min(limit, FIRST_EVENT_MS + tokens.expectedOut * TOKEN_MS);
};

/** Decides by the request's expected duration at first, and by its time limit after the discovery lag. */
export const fitsBeforeStop = (inputs: StopInputs): boolean =>
  inputs.now + estimateTime(inputs) <= inputs.endsAt;
