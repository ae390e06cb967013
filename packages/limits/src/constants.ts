/** Durations and sizes for the handling of server limits. */
import type { Ms } from "@stairgauge/common";
import type { LimitUpdate } from "./types.js";

/**
 * Three answers in a row without a limit lift it, if the request of the last one was sent this long
 * after the last answer with the limit. So a limit is not lifted by a server that names it in every
 * second answer only, nor by answers that arrive out of order.
 */
export const LIFTING_ANSWERS = 3;
export const MIN_HOLD_MS = 2_000 as Ms;

/**
 * A single answer without a limit lifts it if its request was sent this long after the last answer
 * with the limit, or after the time in which the server accepts three requests, whichever is
 * longer, up to the maximum. This is longer than the pause that all boxes together may make once
 * they have sent their parts.
 */
export const MIN_SINGLE_HOLD_MS = 6_000 as Ms;
export const MAX_SINGLE_HOLD_MS = 10_000 as Ms;

/**
 * A limit that no box has received for this long, or for the time in which the server accepts three
 * requests, is dropped. The next box that sends a request receives it again.
 */
export const MIN_MEMORY_MS = 30_000 as Ms;

/**
 * Interval at which a limit on record is sent to other boxes again while the server keeps naming
 * it. Boxes that send nothing to that server learn of it this way only.
 */
export const RENEWAL_INTERVAL_MS = 1_000 as Ms;

/**
 * Span over which a server gets as many requests as its limit allows, in seconds.
 *
 * A request may take up to a second from its placement to the server. With spans of five seconds,
 * at most 5 N + 1 requests arrive within the 4 s that users count over, where 6 N + 5 are allowed
 * (N: the limit per second).
 */
export const SPAN_SECONDS = 5;

/**
 * For this long after a limit is first named, all boxes together send only N + 2 requests (N: the
 * limit per second).
 *
 * The window of 4 s in which users count still holds what was sent before the boxes had the limit:
 * about 3 N in the second before, at a server whose limit is a third of its load, and a little more
 * until all boxes have it.
 */
export const ONSET_MS = 4_100 as Ms;
export const ONSET_EXTRA = 2;

/**
 * From this time after the first naming to ONSET_MS nothing is sent. Users begin to count 3 s after
 * the limit was named, and their window then holds all that arrived until the boxes had the limit.
 * What was sent before this pause arrives before the count begins.
 */
export const PAUSE_FROM_MS = 2_400 as Ms;

/** An update without any content. */
export const NO_LIMIT_UPDATE: LimitUpdate = { named: [], lifted: [] };
