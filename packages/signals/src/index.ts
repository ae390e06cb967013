/** What backend servers say of themselves in their answers: each sign has one taker. */
export type * from "./types.js";
export { NO_SIGNALS } from "./constants.js";
export { dispatchSignals } from "./dispatchSignals.js";
export type { ReceivedSignals } from "./dispatchSignals.js";
