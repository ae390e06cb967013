/** What backend servers say of themselves in their answers: each sign has one taker. */
export type * from "./types.js";
export { NO_SIGNS } from "./constants.js";
export { takeSigns } from "./takeSigns.js";
export type { HeardSigns } from "./takeSigns.js";
