/**
 * Rate at which slots of a service become free while requests want them. Only time in which the
 * slots are busy counts: at low load, completions are as rare as arrivals, and say nothing about
 * capacity. Pure but for the times passed in.
 */
import type { Ms } from "@stairgauge/common";
import { EXPECTED_RATE_WEIGHT_MS, MIN_OBSERVED_MS, RATE_DECAY_MS } from "./constants.js";

/** A rate, and the age of the newest completion that it is derived from. */
export type RateEstimate = Readonly<{ perMs: number; age: Ms | undefined }>;

/** The rate of one service. */
export type FreeRate = Readonly<{
  /** Records slots that became free. */
  record: (count: number, now: Ms) => void;
  /** Records whether requests find all slots taken from now on. */
  setBusy: (isBusy: boolean, now: Ms) => void;
  /**
   * Returns the rate; undefined if too little is known. `expectedPerMs` is the rate to expect from
   * the number of slots and the work of a request, for the time before enough was observed.
   */
  estimate: (now: Ms, expectedPerMs: number | undefined) => RateEstimate | undefined;
}>;

/** Creates a rate without observations. */
export const createFreeRate = (): FreeRate => {
  let isBusy = false;
  let at = 0;
  /** Decayed number of completions, and the decayed time in which they were counted. */
  let completions = 0;
  let busyMs = 0;
  let newestAt: number | undefined;

  const advance = (now: number) => {
    const kept = Math.exp((at - now) / RATE_DECAY_MS);
    completions *= kept;
    busyMs = busyMs * kept + (isBusy ? RATE_DECAY_MS * (1 - kept) : 0);
    at = now;
  };

  return {
    record: (count, now) => {
      advance(now);
      if (!isBusy || count === 0) return;
      completions += count;
      newestAt = now;
    },
    setBusy: (nowBusy, now) => {
      advance(now);
      isBusy = nowBusy;
    },
    estimate: (now, expectedPerMs) => {
      advance(now);
      const age = newestAt === undefined ? undefined : ((now - newestAt) as Ms);
      if (expectedPerMs !== undefined) {
        const weight = Math.max(0, EXPECTED_RATE_WEIGHT_MS - busyMs / 2);
        const perMs = (completions + expectedPerMs * weight) / (busyMs + weight);
        return { perMs, age };
      }
      return busyMs < MIN_OBSERVED_MS ? undefined : { perMs: completions / busyMs, age };
    },
  };
};
