/** Promise-based delays on a clock. */
import type { Clock } from "./clock.js";
import type { Ms } from "./types.js";

/** Resolves to undefined after `duration`. */
export const waitFor = (clock: Clock, duration: Ms): Promise<undefined> =>
  new Promise((resolve) => {
    clock.setTimer(duration, () => resolve(undefined));
  });

/** Resolves to undefined once the time limit of a wait for answers is reached. */
export const waitForLimit = (
  clock: Pick<Clock, "setTimeLimit">,
  limit: Ms,
): Promise<undefined> =>
  new Promise((resolve) => {
    clock.setTimeLimit(limit, () => resolve(undefined));
  });
