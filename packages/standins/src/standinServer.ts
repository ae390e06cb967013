/** HTTP server of the stand-ins. */
import {
  createHttpServer,
  sendJson,
  type HttpRoute,
  type HttpServer,
} from "@stairgauge/http";

/** Creates an HTTP server for a stand-in's routes; an unknown route gets 404. */
export const createStandinServer = (routes: readonly HttpRoute[]): HttpServer =>
  createHttpServer({
    routes,
    handleUnknown: ({ response }) => sendJson(response, 404, { error: "no such route" }),
    renderClientFault: (fault) => ({ status: 400, headers: {}, body: fault }),
    reportFault: (error) => {
      process.stderr.write(`stand-in fault: ${String(error)}\n`);
    },
  });
