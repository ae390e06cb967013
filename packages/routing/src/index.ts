/** The operators' configuration: routes, services, workspaces and keys, and how far it is to be trusted. */
export type * from "./types.js";
export { indexConfiguration } from "./indexConfiguration.js";
export type { ConfigurationIndex } from "./indexConfiguration.js";
export { createConfigurationKeeper } from "./configurationKeeper.js";
export type {
  AdoptOutcome,
  ConfigurationKeeper,
  Standing,
  StandingLimits,
} from "./configurationKeeper.js";
export { computeTimeLimit, decideAccess } from "./decideAccess.js";
export type { AccessDecision, AccessRefusal, AccessRequest } from "./decideAccess.js";
