/** Backoffs that backend servers ask of a box: what it may send during and after them. */
export type * from "./types.js";
export { createServerBackoffs } from "./serverBackoffs.js";
export type { ServerBackoffs, ServerBackoffsOptions } from "./serverBackoffs.js";
