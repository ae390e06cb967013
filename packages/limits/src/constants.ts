/** Times and sizes of limits that servers name. */
import type { Ms } from "@stairgauge/common";
import type { LimitUpdate } from "./types.js";

/**
 * Three answers in a row without a limit lift it, the last of them to a request that was sent this long after the last answer with
 * one: servers that name it in every second answer, and answers that overtake one another, lift nothing.
 */
export const TELLING_ANSWERS = 3;
export const MIN_HOLD_MS = 2_000 as Ms;

/**
 * A single answer without it lifts a limit if its request was sent this long after the last answer with one, or as long as the
 * server takes for three requests: longer than all boxes together may be silent once they have sent their parts.
 */
export const MIN_SINGLE_HOLD_MS = 6_000 as Ms;
export const MAX_SINGLE_HOLD_MS = 10_000 as Ms;

/**
 * A limit of which no box has heard for so long, or for as long as the server takes for three requests, is forgotten: whoever sends
 * next hears it again.
 */
export const MIN_MEMORY_MS = 30_000 as Ms;

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

/**
 * From here to the end of that time nothing is sent: the users begin to count 3 s after the limit was named, and their window then
 * holds all that came until boxes knew. What is sent before arrives before.
 */
export const QUIET_FROM_MS = 2_400 as Ms;

/** News of which there is none. */
export const NO_LIMIT_UPDATE: LimitUpdate = { named: [], lifted: [] };
