/** Limits that backend servers in need name in their answers, and what boxes that know one send. */
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
