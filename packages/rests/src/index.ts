/** Rest that backend servers ask of a box: what it sends them meanwhile, and how it comes back. */
export type * from "./types.js";
export { createServerRests } from "./serverRests.js";
export type { ServerRests, ServerRestsOptions } from "./serverRests.js";
