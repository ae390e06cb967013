/** Decides which server gets a request, and which requests wait or are refused. No I/O. */
export type {
  Candidate,
  Decision,
  DecisionEvent,
  GenerationRequest,
  PlacementReason,
  RefusalReason,
  ReportedLoad,
  WaitingReason,
} from "./types.js";
export { createDecisionCore } from "./decisionCore.js";
export type { DecisionCore } from "./decisionCore.js";
export { createServiceRouter } from "./serviceRouter.js";
export type { ServiceChoice, ServiceRouter } from "./serviceRouter.js";
