/** Follows tables of the platform's store. */
export type * from "./types.js";
export {
  INITIAL_REVISION,
  compareRevisions,
  isEarlierRevision,
  makeRevision,
  pickLaterRevision,
  UNKNOWN_ERA,
} from "./revision.js";
export type { StoreRevision } from "./revision.js";
export { createRevisionWatermark } from "./revisionWatermark.js";
export type {
  EraChange,
  RevisionWatermark,
  ObservedRevision,
} from "./revisionWatermark.js";
export { createTableFollower, NEW_ERA } from "./tableFollower.js";
export { createTableMirror } from "./tableMirror.js";
export type { MirrorFailure, TableMirror } from "./tableMirror.js";
export type {
  FailedStep,
  FollowerOptions,
  FollowerSink,
  StaleRead,
  TableFollower,
} from "./tableFollower.js";
export { createRestoreGuard } from "./restoreGuard.js";
export type { RestoreGuard, RestoreGuardOptions } from "./restoreGuard.js";
export type * from "./restoreTypes.js";
