/** Durations and limits of paths and of carried requests. */
import type { Ms } from "@stairgauge/common";

/**
 * How long a connection to a server may take before another box is asked to carry the request, as a
 * multiple of the longest recent one to the same data hall, and the least time. A request with 600 ms
 * then has most of it left, and a slow moment of this box or the server is no reason to ask.
 */
export const WAIT_FACTOR = 4;
export const MIN_WAIT_MS = 60;

/** Part of the longest recent connection time that remains after each further connection. */
export const LONGEST_KEPT = 0.95;

/** How long a failed connection counts; requests keep trying a path that is not lost. */
export const FAILURE_MEMORY_MS = 2_000;

/** Connections without an answer after which a path is lost; a single lost packet is no reason. */
export const HANGS_TO_LOSE = 2;

/** Lost servers, without one that was reached since, from which all paths count as lost. */
export const SERVERS_TO_LOSE_ALL = 2;

/** How long a server that neither this box nor a carrier reached is not asked of carriers again. */
export const DOWN_MS = 500 as Ms;

/** Interval at which a lost path is probed, and the pause before the probe that confirms a success. */
export const PROBE_INTERVAL_MS = 1_000;
export const CONFIRM_INTERVAL_MS = 250;

/** Successful probes in a row after which requests take the path again. */
export const PROBES_TO_REGAIN = 2;

/** Probes sent at one check; boxes with many lost paths probe them in turn. */
export const MAX_PROBES_AT_ONCE = 4;

/** How long a box that refused to carry to a server is asked last for it, or not at all if it has lost its path. */
export const REFUSED_MS = 1_000;

/** How long a box that sent nothing for a carried request in time is asked last. */
export const SILENT_MS = 3_000;

/**
 * Boxes that one request is offered to, and boxes that are asked about one server within REFUSED_MS while all of them
 * have lost their paths. A refusal takes a few milliseconds, a connection without an answer as long as the wait for one.
 */
export const MAX_OFFERS = 24;

/**
 * Carriers that may fail to reach the server before it counts as down: one while this box reaches other
 * servers; more while it reaches none, as other boxes may just have lost their paths as well.
 */
export const MAX_UNREACHED_CARRIERS = 3;
export const REACHING_MS = 1_000;

/** Longest time until a carrier has connected to the server or has refused. */
export const CARRIER_ANSWER_MS = 400 as Ms;

/** Largest body of a carried request; twice as much fits into one message between boxes. */
export const MAX_CARRIED_BODY_BYTES = 2 * 1024 * 1024;
