/** Outcomes of calls (ran, not run, unknown), and the state machine of at-most-once calls. */
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
