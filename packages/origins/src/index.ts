/** What began the streams that clients may take up at any box. */
export type * from "./types.js";
export { STREAM_KEY, TAKE_UP_MARGIN_MS } from "./constants.js";
export type { OriginSource, ResolvedOrigin } from "./decideOrigin.js";
export { createOriginFinder } from "./originFinder.js";
export { createOriginRegistry } from "./originRegistry.js";
export { createStreamOrigins } from "./streamOrigins.js";
export type { OriginSubject, StreamOrigins } from "./streamOrigins.js";
export { createVersionHistory } from "./versionHistory.js";
export type { VersionHistory } from "./versionHistory.js";
export { createVersionRows } from "./versionRows.js";
export type { VersionRows } from "./versionRows.js";
