/** Clients of model engines, with one interface for all kinds. */
export type {
  CacheEvent,
  EngineAddress,
  EngineClient,
  EngineLink,
  EngineOrder,
  LinkHandlers,
  LoadReport,
  StartRequest,
} from "./types.js";
export { createHttpEngineClient } from "./httpEngineClient.js";
export {
  cacheEventsSchema,
  encodeFrame,
  GENERATION_GONE_KIND,
  LEAVING_KIND,
  loadReportSchema,
  orderSchema,
  refusalSchema,
  startBodySchema,
} from "./wire.js";
