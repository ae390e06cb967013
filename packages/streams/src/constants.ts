/** Timeouts and retry limits of a stream. */
import type { Ms } from "@stairgauge/common";

/** A link on which no frame, not even a heartbeat, arrives for this long counts as dead. */
export const LINK_SILENCE_MS = 5_000 as Ms;

/** Most attempts of one request, including the first. */
export const MAX_ATTEMPTS = 4;

/** Most resumes in a row without a new token; after them the generation counts as lost. */
export const MAX_RESUMES_WITHOUT_PROGRESS = 6;

/** Delay before the second resume in a row; doubles with each further one. */
export const RESUME_BACKOFF_MS = 100 as Ms;

/** Longest delay before a resume. */
export const MAX_RESUME_BACKOFF_MS = 2_000 as Ms;
