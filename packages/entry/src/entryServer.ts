/** The HTTP server for callers. */
import { createHttpServer, type ClientFault, type HttpServer } from "@stairgauge/http";
import { describeFailure, renderErrorBody, sendFailure } from "./apiError.js";
import { createGenerationRoutes } from "./generationRoutes.js";
import { createModelRoutes } from "./modelRoutes.js";
import { createServiceRoutes } from "./serviceRoutes.js";
import type { EntryDeps } from "./types.js";

const renderClientFault = (fault: ClientFault, deps: EntryDeps) => {
  const error = describeFailure({ kind: "client_fault", fault });
  deps.metrics.refusals.inc({ code: error.code });
  return {
    status: error.status,
    headers: { "Content-Type": "application/json" },
    body: JSON.stringify(renderErrorBody(error)),
  };
};

/** Creates the HTTP server with all routes for callers. */
export const createEntryServer = (deps: EntryDeps): HttpServer =>
  createHttpServer({
    routes: [
      ...createGenerationRoutes(deps),
      ...createModelRoutes(deps),
      ...createServiceRoutes(deps),
    ],
    handleUnknown: ({ response }) =>
      sendFailure(response, { kind: "unknown_route" }, deps.metrics),
    tls: deps.tls,
    renderClientFault: (fault) => renderClientFault(fault, deps),
    reportFault: (error) => deps.logger.error({ err: error }, "request handler failed"),
  });
