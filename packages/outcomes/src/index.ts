/** Ran, not run, unknown: what may be said of a call, and why. */
export type { LinkFailure, Outcome } from "./types.js";
export { combineOutcomes, toOutcome } from "./combineOutcomes.js";
export type {
  Claim,
  FoundClaim,
  KeptAnswer,
  OnceAction,
  OnceEvent,
  OnceRefusal,
} from "./claimTypes.js";
export { createOnceCall } from "./onceCall.js";
