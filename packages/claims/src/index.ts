/** At-most-once calls: claims stored in the table service, with writes batched and rate-limited. */
export type { OnceKey } from "./claimRecord.js";
export { createOnceGuard } from "./onceGuard.js";
export type { ClaimedCall, OnceGuard, OnceHandlers } from "./onceGuard.js";
export { createWriteBatcher } from "./writeBatcher.js";
export type { WriteBatcher } from "./writeBatcher.js";
