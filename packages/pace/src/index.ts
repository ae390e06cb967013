/** Service times of servers, learned from the observations of all boxes. */
export type * from "./types.js";
export { createEventSampler } from "./eventSampler.js";
export type { EventSampler, EventSamplerOptions } from "./eventSampler.js";
export { createPaceExchange } from "./paceExchange.js";
export type { PaceExchange, PaceExchangeOptions } from "./paceExchange.js";
export { createPaceRegistry } from "./paceRegistry.js";
export type { PaceReader, PaceRegistry, PaceRegistryOptions } from "./paceRegistry.js";
export { createReadingTimer } from "./readingTimer.js";
export type { ReadingTimer } from "./readingTimer.js";
