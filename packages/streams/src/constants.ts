/** Limits of a stream's life. */
import type { Ms } from "@stairgauge/common";

/** Silence on a link, heartbeats included, after which it counts as dead. */
export const LINK_SILENCE_MS = 5_000 as Ms;

/** Attempts of one request before it fails, the first included. */
export const MAX_ATTEMPTS = 4;

/** Resumes in a row without progress before the generation counts as lost. */
export const MAX_RESUMES_WITHOUT_PROGRESS = 6;

/** Wait before the second resume; doubles with each further one. */
export const RESUME_BACKOFF_MS = 100 as Ms;

/** Longest wait between two resumes. */
export const MAX_RESUME_BACKOFF_MS = 2_000 as Ms;
