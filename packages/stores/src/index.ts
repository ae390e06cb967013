/** Interfaces of the platform's services, and their HTTP clients. */
export type * from "./types.js";
export { createHttpPlatform } from "./httpPlatform.js";
export type { PlatformAddresses } from "./httpPlatform.js";
export { writesSchema } from "./wire.js";
