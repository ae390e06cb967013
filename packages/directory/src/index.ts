/** Directory of backend servers: their entries, and which of them get new work. */
export type * from "./types.js";
export { getLeavingEvidence } from "./leavingReasons.js";
export type { LeavingEvidence } from "./leavingReasons.js";
export { createServerDirectory } from "./serverDirectory.js";
export type {
  DirectoryEvent,
  DirectoryOptions,
  ServerDirectory,
} from "./serverDirectory.js";
