/** Serves a stand-in's routes on a loopback port. */
import {
  createHttpServer,
  sendJson,
  type HttpRoute,
  type HttpServer,
} from "@stairgauge/http";

/** Creates the server of a stand-in. */
export const createStandinServer = (routes: readonly HttpRoute[]): HttpServer =>
  createHttpServer({
    routes,
    handleUnknown: ({ response }) => sendJson(response, 404, { error: "no such route" }),
    renderClientFault: (fault) => ({ status: 400, headers: {}, body: fault }),
    reportFault: (error) => {
      process.stderr.write(`stand-in fault: ${String(error)}\n`);
    },
  });
