/** Time as an interface, so that the same code runs on the machine's clock and on a virtual one. */
import type { Ms } from "./types.js";

/** A timer that has been set. */
export type Timer = Readonly<{
  /** Cancels the timer; does nothing once it has fired. */
  cancel: () => void;
}>;

/** A source of time and timers. */
export type Clock = Readonly<{
  /** Wall time, milliseconds since 1970. May jump. */
  now: () => Ms;
  /** Monotonic time in milliseconds from an arbitrary start. */
  monotonic: () => Ms;
  /** Calls `fire` once, after `delay` milliseconds. */
  setTimer: (delay: Ms, fire: () => void) => Timer;
}>;

/** The machine's clock. */
export const createSystemClock = (): Clock => ({
  now: () => Date.now() as Ms,
  monotonic: () => performance.now() as Ms,
  setTimer: (delay, fire) => {
    const handle = setTimeout(fire, delay);
    return { cancel: () => clearTimeout(handle) };
  },
});
