/** An HTTP server with limits, readers of request bodies, and typed failures of requests to servers. */
export * from "./constants.js";
export { createHttpServer, sendJson } from "./httpServer.js";
export type {
  ClientFault,
  HttpAnswer,
  HttpExchange,
  HttpRoute,
  HttpServer,
  TlsIdentity,
} from "./httpServer.js";
export { readBody, readJsonBody } from "./readBody.js";
export type { BodyFailure, BodyLimits } from "./readBody.js";
export { toLinkFailure } from "./linkFailures.js";
