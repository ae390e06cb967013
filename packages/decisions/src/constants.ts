/** Constants of placement: length estimates, memory forecasts, admission. */
import type { Ms } from "@stairgauge/common";

/**
 * Log-normal distribution of answer lengths assumed before any answer was observed: median in tokens,
 * standard deviation of the natural logarithm.
 */
export const PRIOR_MEDIAN_TOKENS = 200;
export const PRIOR_SPREAD = 1.2;

/** Weight of the assumed distribution in a model's length curve, in samples. */
export const PRIOR_SAMPLES = 5;

/** Weight of a model's length curve in a workspace's own curve, in samples. */
export const SHRINK_SAMPLES = 20;

/** Factor by which the weight of old samples shrinks with every new sample. */
export const CURVE_DECAY = 0.995;

/** Max length curves of workspaces in memory; the least recently used are evicted first. */
export const MAX_CURVES = 4_096;

/** How long a sent prompt counts as prefill that the engine still has to compute. */
export const PREFILL_DECAY_MS = 500 as Ms;

/** Prompt tokens to be computed that count as much as one running stream. */
export const PREFILL_TOKENS_PER_STREAM = 256;

/**
 * Memory kept free for a request of the best, a middle or the last tier, in standard deviations of the
 * forecast. The last tier keeps more free, so that the better tiers find free memory.
 */
export const CAUTION_BEST = 2;
export const CAUTION_MIDDLE = 2;
export const CAUTION_LAST = 5;

/** Age beyond which a load report's memory and streams are ignored; its leaving flag still counts. */
export const REPORT_STALE_MS = 10_000 as Ms;

/** Shortest time after which a refused caller is asked to retry. */
export const MIN_RETRY_AFTER_MS = 1_000 as Ms;

/** Engines looked at for one placement. A random sample keeps boxes from all choosing the same one. */
export const PLACEMENT_SAMPLE = 8;

/** How long a server is not chosen after a failed attempt. */
export const EJECTION_MS = 2_000 as Ms;

/** Max share of a model's engines that are left out because of failures. */
export const MAX_EJECTED_SHARE = 0.5;

/** How long an engine counts as leaving after it refused a request because it is leaving. */
export const LEAVING_REFUSAL_MS = 30_000 as Ms;

/** Age that a load report is assumed to have on arrival. */
export const REPORT_LAG_MS = 200 as Ms;

/** Time constant of the decaying average of this box's placement rate. */
export const PLACEMENT_RATE_TIME_CONSTANT_MS = 5_000;

/**
 * Standard deviations by which the memory to keep free shrinks while a request of any tier but the last
 * waits for its whole deadline.
 */
export const CAUTION_LOST_BY_WAITING = 40;
