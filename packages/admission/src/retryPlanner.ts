/**
 * Plans when refused clients should retry: when there will be capacity, each one slot later than
 * the one before, so that those refused earlier come back first and don't all come at once.
 *
 * Load: a burst at twice the capacity. With a constant delay, the refused half comes back in a
 * burst of the same size. Pure but for the times passed in.
 */
import type { Ms } from "@stairgauge/common";
import { MAX_RETRY_AHEAD_MS } from "./constants.js";

/** Inputs of one plan. */
export type RetryInputs = Readonly<{
  now: Ms;
  /** Time until the queue is expected to be empty. */
  queueEnd: Ms;
  /** Expected time from one free slot to the next; undefined without a known rate. */
  interval: Ms | undefined;
}>;

/** Retry times of one service. */
export type RetryPlanner = Readonly<{
  /** Returns the retry delay of a refused client. */
  plan: (inputs: RetryInputs) => Ms;
}>;

/** Creates a planner; `pause` is the delay without load, and the shortest one. */
export const createRetryPlanner = (pause: Ms): RetryPlanner => {
  /** The latest slot that was promised; without effect once it has passed. */
  let promisedAt = 0;

  return {
    plan: ({ now, queueEnd, interval }) => {
      if (interval === undefined) return pause;
      const first = now + Math.max(queueEnd, pause);
      const planned = Math.max(first, promisedAt + interval);
      promisedAt = Math.min(planned, Math.max(now + MAX_RETRY_AHEAD_MS, promisedAt));
      return Math.ceil(
        Math.min(planned - now, Math.max(pause, MAX_RETRY_AHEAD_MS)),
      ) as Ms;
    },
  };
};
