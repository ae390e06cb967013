/** The daemon's parts, for its own entry points and tests. */
export { createDaemon } from "./createDaemon.js";
export { createEmbeddedSite } from "./embeddedSite.js";
