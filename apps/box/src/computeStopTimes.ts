/** Divides the time that a box has to stop. Pure. */
import type { Ms } from "@stairgauge/common";

/**
 * Time in which the last answers are flushed and connections closed, before the process would be killed. A process that is
 * short of processor time may begin with it half a second late. At most a twelfth of the grace: an answer that its server
 * ends in the first five sixths is delivered.
 */
const ENDING_SHARE = 1 / 12;
const MAX_ENDING_MS = 1_000;

/** The last part of it, in which the process itself ends. */
const EXIT_SHARE = 1 / 32;
const MAX_EXIT_MS = 250;

/** Times of a stop. */
export type StopEnds = Readonly<{
  /** All requests must have been answered; what can't be by then is not accepted. */
  answersEndAt: Ms;
  /** All connections are closed. */
  closesAt: Ms;
}>;

/** Computes the times of a stop that began at `begunAt` and has `grace`. */
export const computeStopTimes = (begunAt: Ms, grace: Ms): StopEnds => {
  const computeEnd = (share: number, most: number) =>
    (begunAt + grace - Math.min(grace * share, most)) as Ms;
  return {
    answersEndAt: computeEnd(ENDING_SHARE, MAX_ENDING_MS),
    closesAt: computeEnd(EXIT_SHARE, MAX_EXIT_MS),
  };
};
