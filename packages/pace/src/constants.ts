/** Durations, factors and bounds of estimates. */

/**
 * Half-life of the samples of each measure. With one second, 94 % of the weight is younger than the
 * 4 s within which a change has to be followed. An engine gets about one prompt per second, and three
 * samples have to be on record for its speed to count, so the samples of prompts are kept longer.
 */
export const HALF_LIFE_MS = { answer: 1_000, reading: 8_000, event: 2_000 } as const;

/** Half-life of an engine's longest gap: prompts and slow periods coincide only every few seconds. */
export const GAP_HALF_LIFE_MS = 30_000;

/** A gap counts with at most this factor of the engine's mean; longer ones are pauses of one stream only. */
export const MAX_GAP_FACTOR = 5;

/** A sample counts with at most this factor above or below the estimate. */
export const MAX_SAMPLE_FACTOR = 4;

/** An estimate is at most this factor above or below the service's median. */
export const MAX_DEVIATION = 8;

/**
 * An engine's time per prompt token is a low quantile of its newest samples. A prompt may also have
 * waited for memory, or may have been processed in a slow period; neither says how fast the engine is.
 */
export const MAX_RECENT = 7;
export const RECENT_QUANTILE = 0.25;

/** Samples of shorter prompts say little about the time per token. */
export const MIN_PROMPT_TOKENS = 800;

/** Weight from which a server's service time counts for unevenness. */
export const MIN_WEIGHT = 3;

/**
 * Factor between the largest and the smallest service time from which a service is uneven, and the
 * factor below which it is even again. They differ, since a slow server that gets little work has
 * little weight, and its estimate moves towards the median. Estimates of equal servers differ by a
 * factor of up to 1.35 by chance.
 */
export const UNEVEN_FACTOR = 1.5;
export const EVEN_FACTOR = 1.4;

/**
 * A difference between two servers counts only beyond this many standard errors of each. Work of
 * plain requests differs by a factor of 1.6 from one to the next: without this, three equal servers
 * with ten samples each were taken for uneven again and again.
 */
export const CHANCE_ERRORS = 1.5;

/** One request in this many goes to a server whose weight is low, where there is one. */
export const PROBE_INTERVAL = 50;

/** Most servers on record; those without a sample for the longest time are evicted. */
export const MAX_SERVERS = 1_024;

/** Most servers in one message. */
export const MAX_SHARED = 64;

/** Estimates without a sample for this long are dropped, also after the box was suspended. */
export const EXPIRY_MS = 10_000;

/** Most events per second. */
export const EVENTS_PER_SECOND = 5;

/**
 * For this long, the figures of a service are not computed again, but for a sign of a slow period. At a
 * hub with 40 placements per second, a shorter time had them computed for each one, which cost as much
 * as the placement itself; the fastest half-life is four times as long.
 */
export const VIEW_MS = 250;

/** The same for a question about one server, which is not asked for each request. */
export const ESTIMATE_VIEW_MS = 25;

/** An estimate that differs by this factor from the one last reported is reported. */
export const REPORTED_FACTOR = 1.5;
