/** Bounds of the callers' interface. */
import type { Ms } from "@stairgauge/common";

/** Characters that count as one token where no tokenizer is at hand. */
export const CHARACTERS_PER_TOKEN = 4;

/** Most messages of one chat request. */
export const MAX_MESSAGES = 2_000;

/** Most stop sequences, as in the interface that callers know. */
export const MAX_STOPS = 4;

/** How long a resume token is good. */
export const RESUME_TOKEN_LIFE_MS = (10 * 60_000) as Ms;

/** Age after which a running stream's tokens are signed anew. */
export const RESUME_TOKEN_RENEW_MS = (5 * 60_000) as Ms;

/** Longest time that a caller may take nothing while tokens wait for it. */
export const READER_IDLE_MS = 60_000 as Ms;

/** Unsent bytes of one caller beyond which its engine's link is paused. */
export const MAX_UNSENT_BYTES = 16 * 1024;

/** Largest body of a service call that is kept so that it can be sent again. */
export const MAX_REPLAY_BYTES = 64 * 1024;

/** Largest answer of a call that may run once; a larger one is not passed on. */
export const MAX_ONCE_ANSWER_BYTES = 256 * 1024;
