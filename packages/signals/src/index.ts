/** Signals that backend servers' answers carry about the servers themselves; each has one handler. */
export type * from "./types.js";
export { NO_SIGNALS } from "./constants.js";
export { dispatchSignals } from "./dispatchSignals.js";
export type { ReceivedSignals } from "./dispatchSignals.js";
