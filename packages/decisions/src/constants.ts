/** Constants of the decisions. */
import type { Ms } from "@stairgauge/common";

/** Answer length assumed before any was seen, tokens. */
export const PRIOR_OUTPUT_TOKENS = 256;

/** Share of an engine's memory that forecasts may fill. */
export const MEMORY_FILL = 0.95;

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
