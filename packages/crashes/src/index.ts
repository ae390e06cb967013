/** Detects requests that crash backend servers, and blocks them. */
export type * from "./types.js";
export { ENDS_TO_STOP_REPEATS, NO_CRASH_UPDATE, REQUEST_DIGEST } from "./constants.js";
export { BLOCKED_RESTORE_RULES, createBlockedList } from "./blockedList.js";
export type { BlockedList, BlockedListOptions } from "./blockedList.js";
export { hashRequest } from "./hashRequest.js";
export type { RequestContent } from "./hashRequest.js";
export { mayHaveEnded } from "./mayHaveEnded.js";
export type { BrokenRun } from "./mayHaveEnded.js";
export { createRequestGuard } from "./requestGuard.js";
export type {
  BlockedRequest,
  RequestGuard,
  RequestGuardOptions,
} from "./requestGuard.js";
