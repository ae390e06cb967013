/** Rollout of bundles: the operators' steps, the head's record and the watcher that each box runs. */
export { decodeHead, encodeHead, HEAD_ROW, toObjectName } from "./headRecord.js";
export type { HeadRecord, PastVersion, Proposal } from "./headRecord.js";
export { createHeadWatcher } from "./headWatcher.js";
export type { HeadWatcher, HeadWatcherOptions, WatchFailure } from "./headWatcher.js";
export { createOperatorFlows } from "./operatorFlows.js";
export type {
  Operator,
  OperatorDeps,
  OperatorFailure,
  OperatorFlows,
} from "./operatorFlows.js";
