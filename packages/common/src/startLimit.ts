import type { Ms } from "./types.js";

/** Longest time that a start waits for its settings, and beyond the stop time for its ports. */
export const START_LIMIT_MS = 60_000 as Ms;
