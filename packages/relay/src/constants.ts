/** Intervals of the relay. */
import type { Ms } from "@stairgauge/common";

/** How often waiting requests are checked against their deadlines, and links for silence. */
export const TICK_MS = 250 as Ms;

/** Tokens between two progress events of a stream to the decision core. */
export const PROGRESS_EVERY_TOKENS = 16;

/** How often the load report of each engine is read. */
export const LOAD_POLL_MS = 500 as Ms;
