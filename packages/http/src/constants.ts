/** Default bounds of an HTTP server. */
import type { Ms } from "@stairgauge/common";

/** Largest request head, bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** Longest time for a request's head to arrive. */
export const HEADERS_TIMEOUT_MS = 10_000 as Ms;

/** Longest pause within a request's body. */
export const BODY_IDLE_TIMEOUT_MS = 10_000 as Ms;

/** Longest time for a whole request body. */
export const BODY_TOTAL_TIMEOUT_MS = 30_000 as Ms;

/** Largest JSON body, bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** How long an idle connection is kept. */
export const KEEP_ALIVE_MS = 30_000 as Ms;
