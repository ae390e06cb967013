/**
 * Limits that overloaded backend servers name in their answers, and how much each box may send
 * under them.
 */
export type * from "./types.js";
export { NO_LIMIT_UPDATE } from "./constants.js";
export { createRenewalGatherer } from "./gatherRenewals.js";
export { createServerLimits } from "./serverLimits.js";
export type {
  Allowance,
  LimitedDemand,
  ServerLimits,
  ServerLimitsOptions,
  FilteredServers,
} from "./serverLimits.js";
