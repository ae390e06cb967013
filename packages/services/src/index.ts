/** Clients of plain services. */
export type {
  ServiceCall,
  ServiceClient,
  ServiceExchange,
  ServiceSink,
} from "./types.js";
export { createHttpServiceClient } from "./httpServiceClient.js";
