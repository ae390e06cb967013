/** Bringing bundles into force: the head's record and the watcher of each box. */
export { decodeHead, encodeHead, HEAD_ROW, toObjectName } from "./headRecord.js";
export { createHeadWatcher } from "./headWatcher.js";
export type { HeadWatcher, HeadWatcherOptions, WatchFailure } from "./headWatcher.js";
