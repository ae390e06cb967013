/** Following tables of the platform's store. */
export type * from "./types.js";
export { createRevisionMark, createTableFollower } from "./tableFollower.js";
export { createTableMirror } from "./tableMirror.js";
export type { MirrorFailure, TableMirror } from "./tableMirror.js";
export type {
  FollowerOptions,
  FollowerSink,
  RevisionMark,
  StaleRead,
  TableFollower,
} from "./tableFollower.js";
