/** How long a box waits for the admitting box's answer. Pure. */
import type { Ms } from "@stairgauge/common";

/**
 * Share of the time left until a request's target that a missing answer may cost. Four fifths remain
 * for the request itself, which is then sent within the safe part.
 */
const ASK_SHARE = 1 / 5;

/** An answer takes about 5 ms; a shorter limit would eject boxes during a garbage collection. */
const MIN_LIMIT_MS = 25;

/** The limit of placement questions for generations. */
const MAX_LIMIT_MS = 150;

/** Computes the time limit of a question from the time left until the request's target. */
export const computeAskLimit = (aimLeft: Ms): Ms =>
  Math.min(MAX_LIMIT_MS, Math.max(MIN_LIMIT_MS, aimLeft * ASK_SHARE)) as Ms;
