/** The operators' configuration: routes, services, workspaces and keys, and how fresh it is. */
export type * from "./types.js";
export { indexConfiguration } from "./indexConfiguration.js";
export type { ConfigurationIndex } from "./indexConfiguration.js";
export { createConfigurationHolder } from "./configurationHolder.js";
export type {
  AdoptOutcome,
  ConfigurationHolder,
  ConfigurationFreshness,
  FreshnessLimits,
} from "./configurationHolder.js";
export { computeReadingTerms } from "./computeReadingTerms.js";
export type { ReadingTerms } from "./computeReadingTerms.js";
export { computeTimeLimit, decideAccess } from "./decideAccess.js";
export type { AccessDecision, AccessRefusal, AccessRequest } from "./decideAccess.js";
