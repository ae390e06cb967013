/** Which server takes a request. */
export type * from "./types.js";
export { createLoadBook } from "./loadBook.js";
export type { KeptReport, LoadBook, PlacedAt, PlacedRun, RunChange } from "./loadBook.js";
export { findCopiedRun, toCopyId } from "./copyId.js";
export { computeColdShare } from "./computeColdShare.js";
export type { FleetPart } from "./computeColdShare.js";
export { createSendRate } from "./sendRate.js";
export type { SendRate } from "./sendRate.js";
export { computeConnectionShare } from "./computeConnectionShare.js";
export { chooseServer, estimateEngineLoad } from "./chooseServer.js";
export type { ChoiceInputs, EngineLoad } from "./chooseServer.js";
export { ENGINE_WAYS } from "./engineWays.js";
export type { EngineWay, EngineWayName } from "./engineWays.js";
export { createRivalRate } from "./rivalRate.js";
export type { RivalRate } from "./rivalRate.js";
export { rankTargets } from "./rankTargets.js";
export type { MoveTarget, RunToMove } from "./rankTargets.js";
