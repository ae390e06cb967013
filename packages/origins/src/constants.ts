/** Bounds on the origins of streams that a box keeps, and on the questions about them. */
import type { Ms } from "@stairgauge/common";

/** Format of a stream key: 128 bits as unpadded base64url. */
export const STREAM_KEY = /^[\w-]{22}$/;

/**
 * Added to the longest time of one answer: a client that has lost its box tries others for some seconds before it gives
 * the stream up.
 */
export const TAKE_UP_MARGIN_MS = 10_000 as Ms;

/** A stream that ended whole may be taken up by a client whose connection broke as the last events were sent. */
export const WHOLE_LEFT_MS = 5_000 as Ms;

/** Largest number of origins on record, some 200 bytes each; the oldest are dropped first. */
export const MAX_ORIGINS = 65_536;

/**
 * Pauses before the rounds of questions about an origin that is not on record. Its record is sent with the stream's
 * first event and may arrive a few milliseconds after the client.
 */
export const ASK_PAUSES_MS = [0, 20, 80] as const;

/** Time limit of one round: a box that is frozen or cut off gives no answer. */
export const ASK_LIMIT_MS = 100 as Ms;
