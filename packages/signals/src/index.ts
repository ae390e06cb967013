/** What backend servers say of themselves in their answers: each sign has one taker. */
export type * from "./types.js";
export { NO_SIGNALS as NO_SIGNS } from "./constants.js";
export { dispatchSignals as takeSigns } from "./dispatchSignals.js";
export type { ReceivedSignals as HeardSigns } from "./dispatchSignals.js";
