/** Delays writes so that the stand-in platform does not exceed its write rate. */
import type { Clock, Ms } from "@stairgauge/common";

const MS_PER_SECOND = 1_000;

/** Creates a pacer; `reserve` reserves the next write and returns how long it has to wait. */
export const createWritePacer = (clock: Clock) => {
  let nextFreeAt = 0;
  return {
    reserve: (writesPerSecond: number): Ms => {
      const now = clock.monotonic();
      const at = Math.max(now, nextFreeAt);
      nextFreeAt = at + MS_PER_SECOND / writesPerSecond;
      return (at - now) as Ms;
    },
  };
};
