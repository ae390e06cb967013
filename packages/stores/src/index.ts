/** Clients of the platform's services, behind interfaces. */
export type * from "./types.js";
export { createHttpPlatform } from "./httpPlatform.js";
export type { PlatformAddresses } from "./httpPlatform.js";
export { writesSchema } from "./wire.js";
