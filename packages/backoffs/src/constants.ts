/** Times and sizes of rests. */
import type { Ms } from "@stairgauge/common";

/** A longer rest is cut to this: one faulty answer must not take a server away from a box for good. */
export const MAX_REST_MS = 600_000 as Ms;

/**
 * Boxes that were turned away together come back spread over this share of the rest, and over no more than this time: all at once
 * they would fill the server again.
 */
export const SPREAD_SHARE = 0.25;
export const MAX_SPREAD_MS = 1_000 as Ms;

/** Requests of a box that may be open at a server which comes back, and from how many on it has come back. */
export const FIRST_OPEN = 1;
export const RETURNED_OPEN = 16;

/**
 * Requests that a server may get in a rest: two are borne. Only those take one that can go nowhere else, a run's continuation and the
 * question whether the server is there.
 */
export const MAX_SPARED = 2;
