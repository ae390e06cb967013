/** Chooses the server for each request. */
export type * from "./types.js";
export { createLoadRegistry } from "./loadRegistry.js";
export type { KeptReport, LoadRegistry, PlacedAt, RunChange } from "./loadRegistry.js";

export { createPlainRun, isPlainRun } from "./plainRun.js";
export { findCopiedRun, toCopyId } from "./copyId.js";
export { computeFleetShare } from "./computeFleetShare.js";
export type { FleetPart } from "./computeFleetShare.js";
export { createFleetPlaces } from "./fleetPlaces.js";
export type { FleetPlace, FleetPlaces, SharedBound } from "./fleetPlaces.js";
export { createSendRate } from "./sendRate.js";
export type { SendRate } from "./sendRate.js";
export {
  computeConnectionBounds,
  computeConnectionShare,
  mayConnect,
} from "./computeConnectionShare.js";
export type { ConnectionBounds } from "./computeConnectionShare.js";
export type { ChoiceInputs } from "./choice.js";
export { chooseServer } from "./chooseServer.js";
export { estimateEngineLoad } from "./engineLoad.js";
export type { EngineLoad } from "./engineLoad.js";
export { ENGINE_WAYS } from "./engineWays.js";
export type { EngineWay, EngineWayName } from "./engineWays.js";
export { createCompetingRate } from "./competingRate.js";
export type { CompetingRate } from "./competingRate.js";
export { deriveBinding, fitsBinding } from "./streamBinding.js";
export type { StreamBinding } from "./streamBinding.js";
export { rankTargets } from "./rankTargets.js";
export type { MoveTarget, RunToMove } from "./rankTargets.js";
