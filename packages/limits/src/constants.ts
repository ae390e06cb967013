/** Times and sizes of limits that servers name. */
import type { Ms } from "@stairgauge/common";
import type { LimitNews } from "./types.js";

/**
 * An answer without a limit lifts it if its request was sent this long after the last answer with one, or as long as the server
 * takes for three requests: servers that name it in every second answer, and answers that overtake one another, lift nothing.
 */
export const LEAST_HOLD_MS = 2_000 as Ms;
export const MOST_HOLD_MS = 10_000 as Ms;

/**
 * A limit of which no box has heard for so long, or for as long as the server takes for three requests, is forgotten: whoever sends
 * next hears it again.
 */
export const LEAST_MEMORY_MS = 30_000 as Ms;

/** Requests after which a server that still named its limit would have done so. */
export const TELLING_REQUESTS = 3;

/** A limit that is known is told again this often while servers go on naming it: boxes that send nothing there hear it so. */
export const RETELL_MS = 1_000 as Ms;

/**
 * Span in which a server gets what its limit allows, in seconds. Requests may take up to a second from their placement to the server,
 * so that five seconds of placements keep the users' bound on four seconds of arrivals: 5 N + 1 where 6 N + 5 are allowed.
 */
export const SPAN_SECONDS = 5;

/**
 * After a limit was first heard, the users' window of 4 s still holds what was sent before anyone knew: at a server that names a
 * third of its load some 3 N in the second before, and a little until all know. Until that has passed all boxes together send N + 2.
 */
export const ONSET_MS = 4_100 as Ms;
export const ONSET_EXTRA = 2;

/** News of which there is none. */
export const NO_LIMIT_NEWS: LimitNews = { named: [], lifted: [] };
