/** Rest that backend servers ask of a box: what it sends them meanwhile, and how it comes back. */
export type * from "./types.js";
export { createServerBackoffs } from "./serverBackoffs.js";
export type { ServerBackoffs, ServerBackoffsOptions } from "./serverBackoffs.js";
