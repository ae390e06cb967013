/** Calls that may run once: claims in the table service, batched within a write budget. */
export type { OnceKey } from "./claimRecord.js";
export { createOnceGuard } from "./onceGuard.js";
export type { ClaimedCall, OnceGuard, OnceHandlers } from "./onceGuard.js";
export { createWriteBatcher } from "./writeBatcher.js";
export type { WriteBatcher } from "./writeBatcher.js";
