/** The operators' configuration: routes, services, workspaces and keys, and how far it is to be trusted. */
export type * from "./types.js";
export { indexConfiguration } from "./indexConfiguration.js";
export type { ConfigurationIndex } from "./indexConfiguration.js";
export { createConfigurationHolder as createConfigurationKeeper } from "./configurationHolder.js";
export type {
  AdoptOutcome,
  ConfigurationHolder as ConfigurationKeeper,
  ConfigurationFreshness as Standing,
  FreshnessLimits as StandingLimits,
} from "./configurationHolder.js";
export { computeTimeLimit, decideAccess } from "./decideAccess.js";
export type { AccessDecision, AccessRefusal, AccessRequest } from "./decideAccess.js";
