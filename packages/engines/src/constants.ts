/** Limits of the engine client. */

/** Maximum size of a frame from an engine, in bytes. */
export const MAX_FRAME_BYTES = 64 * 1024;

/** Maximum wait for a connection to an engine, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 2_000;

/** Maximum wait for the answer to a control call, in milliseconds. */
export const CONTROL_TIMEOUT_MS = 3_000;

/** Maximum size of the answer to a control call, in bytes. */
export const MAX_CONTROL_BYTES = 1024 * 1024;
