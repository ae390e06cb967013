/** Paths of a box to backend servers: which of them are lost, and which box carries requests then. */
export type * from "./types.js";
export { createServerPaths } from "./serverPaths.js";
export type { PathEntry, ServerPaths, ServerPathsOptions } from "./serverPaths.js";
export { createCarriers } from "./carriers.js";
export type { Carriers, CarriersOptions } from "./carriers.js";
export { createCarryBounds } from "./carryBounds.js";
export type { CarryBounds } from "./carryBounds.js";
export { CARRIER_ANSWER_MS, MAX_CARRIED_BODY_BYTES, MAX_OFFERS } from "./constants.js";
