/** Bounds of the engine adapter. */

/** Longest frame that an engine may send, bytes. */
export const MAX_FRAME_BYTES = 64 * 1024;

/** Longest wait for a connection to an engine, milliseconds. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Longest wait for an answer to a control call, milliseconds. */
export const CONTROL_TIMEOUT_MS = 3_000;

/** Largest answer to a control call, bytes. */
export const MAX_CONTROL_BYTES = 1024 * 1024;
