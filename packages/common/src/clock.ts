/** A clock interface, so that the same code runs on the machine's clock and on a virtual one. */
import { createBootClock } from "./bootClock.js";
import { startTimeout } from "./startTimeout.js";
import type { Ms } from "./types.js";

/** A pending or fired timer. */
export type Timer = Readonly<{
  /** Cancels the timer; does nothing once it has fired. */
  cancel: () => void;
}>;

/** A source of time and timers. */
export type Clock = Readonly<{
  /** Time of day, in milliseconds since 1970. May jump. */
  now: () => Ms;
  /** Monotonic time in milliseconds from an arbitrary start. */
  monotonic: () => Ms;
  /**
   * Like `monotonic`, but also counts the time in which the machine is suspended. It runs ahead if the time of day is set ahead.
   * For checks of the age of data: data that looks too old is only fetched again.
   */
  boottime: () => Ms;
  /** Calls `fire` once, after `delay` milliseconds; never if it is infinite. */
  setTimer: (delay: Ms, fire: () => void) => Timer;
  /**
   * Like `setTimer`, for the end of a wait for an answer: what has arrived by then is read and reported first. After a process
   * was suspended, the event loop runs timers before it reads what arrived meanwhile.
   */
  setTimeLimit: (limit: Ms, fire: () => void) => Timer;
}>;

/** A view of the clock whose `monotonic` is `boottime`, for code that uses time only to check the age of data. */
export const toBoottimeClock = (clock: Clock): Clock => ({
  ...clock,
  monotonic: clock.boottime,
});

/** Creates the machine's clock; `onGap` is called with each duration that the steady clock did not count. */
export const createSystemClock = (onGap?: (duration: Ms) => void): Clock => ({
  now: () => Date.now() as Ms,
  monotonic: () => performance.now() as Ms,
  boottime: createBootClock(
    { steady: () => performance.now(), timeOfDay: () => Date.now() },
    onGap,
  ),
  setTimer: (delay, fire) => ({ cancel: startTimeout(delay, fire) }),
  setTimeLimit: (limit, fire) => {
    let afterReads: NodeJS.Immediate | undefined;
    // What is read in a turn of the event loop may be reported at its end.
    const scheduleFire = () => {
      afterReads = setImmediate(() => {
        afterReads = setImmediate(fire);
      });
    };
    const cancelTimeout = startTimeout(limit, scheduleFire);
    return {
      cancel: () => {
        cancelTimeout();
        clearImmediate(afterReads);
      },
    };
  },
});
