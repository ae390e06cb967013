/** Times and sizes of limits that servers name. */
import type { Ms } from "@stairgauge/common";

/**
 * An answer without a limit lifts it if its request was sent this long after the last answer with one, or as long as the server
 * takes for three requests: servers that name it in every second answer, and answers that overtake one another, lift nothing.
 */
export const LEAST_HOLD_MS = 2_000 as Ms;
export const MOST_HOLD_MS = 10_000 as Ms;
export const HOLD_REQUESTS = 3;

/** A limit of which no box has heard for so long is forgotten: whoever sends next hears it again. */
export const MEMORY_MS = 30_000 as Ms;
