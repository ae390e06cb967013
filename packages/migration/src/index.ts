/** Moves runs to other engines when their engine leaves. */
export type * from "./types.js";
export { createRunMover } from "./runMover.js";
export type { MoveDecision, RunMover, RunMoverDeps } from "./runMover.js";
export { planEvacuation } from "./planEvacuation.js";
export type { EvacuationInputs, EvacuationPlan, RunPlan } from "./planEvacuation.js";
export { listExposed } from "./listExposed.js";
export type { ExposureInputs } from "./listExposed.js";
export { createStandbyKeeper } from "./standbyKeeper.js";
export type {
  Standby,
  StandbyDecision,
  StandbyKeeper,
  StandbyKeeperDeps,
} from "./standbyKeeper.js";
export { computeCopyTime, computePressure } from "./copyTime.js";
export type { CopyLink } from "./copyTime.js";
export { listRunsToMove } from "./listRunsToMove.js";
