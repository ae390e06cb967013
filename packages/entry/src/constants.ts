/** Limits of the HTTP API. */
import type { Ms } from "@stairgauge/common";

/** Characters that count as one token, because the box has no tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Max messages of one chat request. */
export const MAX_MESSAGES = 2_000;

/** Max stop sequences, as in the public chat and completion APIs. */
export const MAX_STOPS = 4;

/** How long a resume token is valid. */
export const RESUME_TOKEN_LIFE_MS = (10 * 60_000) as Ms;

/** Age at which the signed part of a running stream's resume tokens is replaced by a new one. */
export const RESUME_TOKEN_RENEW_MS = (5 * 60_000) as Ms;

/** Longest time that a caller may read nothing while tokens are waiting; then it is disconnected. */
export const READER_IDLE_MS = 60_000 as Ms;

/** Unsent bytes for one caller at which the link to its engine is paused. */
export const MAX_UNSENT_BYTES = 16 * 1024;

/** Max body of a service call that is buffered so that a retry can send it again. */
export const MAX_REPLAY_BYTES = 64 * 1024;

/** Max answer of an at-most-once call; a larger one is neither stored nor sent to the caller. */
export const MAX_ONCE_ANSWER_BYTES = 256 * 1024;
