/** Constants of the decisions. */
import type { Ms } from "@stairgauge/common";

/** Median and spread (of the logarithm) of answers before any was seen, tokens. */
export const PRIOR_MEDIAN_TOKENS = 200;
export const PRIOR_SPREAD = 1.2;

/** Samples that the prior weighs as much as, against a model's own. */
export const PRIOR_SAMPLES = 5;

/** Samples that a model's curve weighs as much as, against a workspace's own. */
export const SHRINK_SAMPLES = 20;

/** Weight that a sample keeps when the next one comes. */
export const CURVE_DECAY = 0.995;

/** Curves of workspaces that are kept; the least recently used leave first. */
export const MAX_CURVES = 4_096;

/** How long the prompts that were sent count as still to be computed. */
export const PREFILL_MEMORY_MS = 500 as Ms;

/** Prompt tokens that make an engine as busy as one stream more. */
export const PREFILL_TOKENS_PER_STREAM = 256;

/**
 * Standard deviations of memory kept free by a tier's place among the tiers: best, middle, last. The
 * last tier waits so that the better ones find room.
 */
export const CAUTION_BEST = 2;
export const CAUTION_MIDDLE = 2;
export const CAUTION_LAST = 5;

/** Age of a load report beyond which it counts for nothing but a full engine's limit. */
export const REPORT_STALE_MS = 10_000 as Ms;

/** Shortest time told to a caller to come back after. */
export const MIN_RETRY_AFTER_MS = 1_000 as Ms;

/** Engines looked at for one placement; a sample keeps boxes from all taking the same one. */
export const PLACEMENT_SAMPLE = 8;

/** How long an engine that failed a start is passed over. */
export const EJECTION_MS = 2_000 as Ms;

/** Largest share of a model's engines that may be passed over for failures. */
export const MAX_EJECTED_SHARE = 0.5;

/** How long an engine's own refusal because it leaves counts as a mark. */
export const LEAVING_REFUSAL_MS = 30_000 as Ms;

/** Lag that a load report is held to have when it comes. */
export const REPORT_LAG_MS = 200 as Ms;

/** Time over which the rate of own placements is averaged. */
export const PLACEMENT_RATE_MEMORY_MS = 5_000;

/** Caution that a request of the better tiers loses by waiting its whole deadline. */
export const CAUTION_LOST_BY_WAITING = 40;
