/**
 * Fleet-wide slots of plain services: which services are contended, how many requests all boxes
 * together may have at each server, and what a box may send while no admitting box answers.
 */
export type * from "./types.js";
export {
  CONTENDED_UTILIZATION,
  MAX_FULL_PER_SIGN,
  MAX_SERVICES,
  NO_CONTENTION,
} from "./constants.js";
export { createBrittleServers } from "./brittleServers.js";
export type { BrittleServers } from "./brittleServers.js";
export { createContention } from "./contention.js";
export type { Contention, ContentionOptions } from "./contention.js";
export { countPresent, createUsableSlots } from "./usableSlots.js";
export type { SlotsEntry, UsableSlots, UsableSlotsOptions } from "./usableSlots.js";
export { computeSafePart } from "./safePart.js";
export type { SafePart, SafePartInputs } from "./safePart.js";
export { computeAskLimit } from "./computeAskLimit.js";
