/** Durations and limits of backoffs. */
import type { Ms } from "@stairgauge/common";

/** Longest backoff; a longer one is shortened, so that one faulty answer cannot exclude a server for good. */
export const MAX_BACKOFF_MS = 600_000 as Ms;

/**
 * Boxes that were turned away at the same time resume at random times after the backoff, spread over
 * this share of it and at most over this time. All at once, they would overload the server again.
 */
export const SPREAD_SHARE = 0.25;
export const MAX_SPREAD_MS = 1_000 as Ms;

/**
 * Number of open requests that a box allows at a server right after a backoff, and the number from which
 * on it is not limited any more.
 */
export const INITIAL_OPEN = 1;
export const RECOVERED_OPEN = 16;

/**
 * Largest number of requests during a backoff; servers tolerate two. They are used only for calls that
 * cannot go to another server: the continuation of a run, and health checks.
 */
export const MAX_DURING_BACKOFF = 2;
