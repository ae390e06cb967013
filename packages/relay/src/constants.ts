/** Intervals of the relay's shell. */
import type { Ms } from "@stairgauge/common";

/** How often waiting requests and silent links are looked at. */
export const TICK_MS = 250 as Ms;

/** Tokens between two reports of a stream's progress to the decisions. */
export const PROGRESS_EVERY_TOKENS = 16;

/** How often an engine's load is read. */
export const LOAD_POLL_MS = 500 as Ms;
