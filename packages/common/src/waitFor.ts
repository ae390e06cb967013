/** A promise-based delay on a clock. */
import type { Clock } from "./clock.js";
import type { Ms } from "./types.js";

/** Resolves to undefined after `duration`. */
export const waitFor = (clock: Clock, duration: Ms): Promise<undefined> =>
  new Promise((resolve) => {
    clock.setTimer(duration, () => resolve(undefined));
  });
