/** Detects requests that crash backend servers, and blocks them. */
export type * from "./types.js";
export { MAX_FATAL_EVENTS, NO_CRASH_UPDATE, REQUEST_DIGEST } from "./constants.js";
export { BLOCKED_RESTORE_RULES, createBlockedList } from "./blockedList.js";
export type { BlockedList, BlockedListOptions } from "./blockedList.js";
export { hashPart, listPartSuspects, listSuspects } from "./suspects.js";
export type { PromptContent, SuspectContent } from "./suspects.js";
export type { FoundBlock } from "./suspectJudge.js";
export { hashRequest } from "./hashRequest.js";
export type { RequestContent } from "./hashRequest.js";
export { mayHaveCrashedServer } from "./mayHaveCrashedServer.js";
export type { InterruptedRun } from "./mayHaveCrashedServer.js";
export { createRequestGuard } from "./requestGuard.js";
export type {
  BlockedRequest,
  RequestGuard,
  RequestGuardOptions,
} from "./requestGuard.js";
