/** A timeout of any length, also one without an end. */
import type { Ms } from "./types.js";

/** The platform's timers fire at once for a longer delay. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** Calls `fire` once, after `delay`; returns how to cancel it. */
export const startTimeout = (delay: Ms, fire: () => void): (() => void) => {
  let handle: NodeJS.Timeout;
  const startPart = (left: number) => {
    handle =
      left > MAX_TIMEOUT_MS
        ? setTimeout(() => startPart(left - MAX_TIMEOUT_MS), MAX_TIMEOUT_MS)
        : setTimeout(fire, left);
  };
  startPart(delay);
  return () => clearTimeout(handle);
};
