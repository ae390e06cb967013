/** Requests under which backend servers end: who is the same request, how often, and what follows. */
export type * from "./types.js";
export { hashRequest } from "./hashRequest.js";
export type { RequestContent } from "./hashRequest.js";
