/** Default limits of an HTTP server. */
import type { Ms } from "@stairgauge/common";

/** Largest request head, in bytes. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** Time limit for receiving a request's head. */
export const HEADERS_TIMEOUT_MS = 10_000 as Ms;

/** Longest time between two chunks of a request body. */
export const BODY_IDLE_TIMEOUT_MS = 10_000 as Ms;

/** Time limit for receiving a whole request body. */
export const BODY_TOTAL_TIMEOUT_MS = 30_000 as Ms;

/** Largest JSON body, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** How long an idle connection is kept open. */
export const KEEP_ALIVE_MS = 30_000 as Ms;
