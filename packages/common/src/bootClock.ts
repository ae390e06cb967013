/**
 * Steady time that goes on while the machine is suspended. The steady clock stands still then, and all that is judged by its age
 * looks younger than it is: a key that was taken away, a data hall that was closed, a place that another box gave. The time of day
 * goes on, but it is also set. The two can't be told apart here: the machine's uptime, which a process can read, keeps another
 * pace than the steady clock on some machines. So whatever the time of day gains counts as time that passed unseen, and what it
 * loses counts as nothing.
 */
import type { Ms } from "./types.js";

/** Clocks of the machine, in milliseconds. */
export type ClockSources = Readonly<{ steady: () => number; timeOfDay: () => number }>;

/** A gain of the time of day below this is its own drift; it counts once it has added up. */
const MIN_GAP_MS = 100;

/** Two readings that lie further apart were interrupted, and say nothing of each other. */
const LONGEST_READING_MS = 2;

/** Creates the clock; `onGap` hears of time that passed unseen. */
export const createBootClock = (
  { steady, timeOfDay }: ClockSources,
  onGap: (duration: Ms) => void = () => undefined,
): (() => Ms) => {
  let lead = timeOfDay() - steady();
  let unseen = 0;

  return () => {
    const before = steady();
    const dayTime = timeOfDay();
    const now = steady();
    if (now - before > LONGEST_READING_MS) return (now + unseen) as Ms;
    const gain = dayTime - now - lead;
    if (gain >= MIN_GAP_MS) {
      unseen += gain;
      onGap(gain as Ms);
    }
    if (Math.abs(gain) >= MIN_GAP_MS) lead += gain;
    return (now + unseen) as Ms;
  };
};
