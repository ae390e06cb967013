/**
 * A monotonic clock that also counts the time in which the machine is suspended. The steady clock stops then, so data whose age
 * is checked by it would look too fresh: a removed key, a closed data hall, a placement received from another box. The time of day
 * goes on during a suspension, but it can also be set. The two cases can't be distinguished: the machine's uptime, which a process
 * can read, runs at another rate than the steady clock on some machines. So every gain of the time of day over the steady clock
 * counts as time that passed, and every loss is ignored.
 */
import type { Ms } from "./types.js";

/** Readings of the machine's clocks, in milliseconds. */
export type ClockSources = Readonly<{ steady: () => number; timeOfDay: () => number }>;

/** Smaller gains of the time of day may be clock drift; they count once their sum reaches this. */
const MIN_GAP_MS = 100;

/** If reading the clocks takes longer, the process was interrupted in between and the readings can't be compared. */
const MAX_READING_MS = 2;

/** Creates the clock; `onGap` is called with each duration that the steady clock did not count. */
export const createBootClock = (
  { steady, timeOfDay }: ClockSources,
  onGap: (duration: Ms) => void = () => undefined,
): (() => Ms) => {
  let offset = timeOfDay() - steady();
  let uncounted = 0;

  return () => {
    const before = steady();
    const timeOfDayNow = timeOfDay();
    const now = steady();
    if (now - before > MAX_READING_MS) return (now + uncounted) as Ms;
    const gain = timeOfDayNow - now - offset;
    if (gain >= MIN_GAP_MS) {
      uncounted += gain;
      onGap(gain as Ms);
    }
    if (Math.abs(gain) >= MIN_GAP_MS) offset += gain;
    return (now + uncounted) as Ms;
  };
};
