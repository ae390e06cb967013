/** Time as an interface, so that the same code runs on the machine's clock and on a virtual one. */
import { createBootClock } from "./bootClock.js";
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
  /**
   * The same, going on while the machine is suspended; it may run ahead by what the time of day is set ahead. For ages that prove
   * something: what looks too old by it is asked for again.
   */
  boottime: () => Ms;
  /** Calls `fire` once, after `delay` milliseconds. */
  setTimer: (delay: Ms, fire: () => void) => Timer;
}>;

/** The clock by which ages are proved, for those who judge ages alone. */
export const toAgingClock = (clock: Clock): Clock => ({
  ...clock,
  monotonic: clock.boottime,
});

/** The machine's clock; `onGap` hears of time that passed unseen. */
export const createSystemClock = (onGap?: (duration: Ms) => void): Clock => ({
  now: () => Date.now() as Ms,
  monotonic: () => performance.now() as Ms,
  boottime: createBootClock(
    { steady: () => performance.now(), timeOfDay: () => Date.now() },
    onGap,
  ),
  setTimer: (delay, fire) => {
    const handle = setTimeout(fire, delay);
    return { cancel: () => clearTimeout(handle) };
  },
});
