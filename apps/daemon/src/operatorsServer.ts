/** The operators' port: health and metrics. */
import {
  createHttpServer,
  sendJson,
  type HttpExchange,
  type HttpServer,
} from "@stairgauge/http";
import type { Logger, Metrics } from "@stairgauge/telemetry";

/** What the operators' port tells. */
export type OperatorsServerOptions = Readonly<{
  metrics: Metrics;
  logger: Logger;
  /** Why the box takes no callers; undefined while it does. */
  findNotReadyReason: () => "no_bundle" | "not_listening" | "stopping" | undefined;
  getStatus: () => Readonly<Record<string, unknown>>;
}>;

/** Creates the operators' server. */
export const createOperatorsServer = (options: OperatorsServerOptions): HttpServer => {
  const { metrics } = options;
  const handleReady = ({ response }: HttpExchange) => {
    const reason = options.findNotReadyReason();
    sendJson(response, reason === undefined ? 200 : 503, {
      ready: reason === undefined,
      reason,
    });
  };
  const handleMetrics = async ({ response }: HttpExchange) => {
    const text = await metrics.registry.metrics();
    response.writeHead(200, { "content-type": metrics.registry.contentType });
    response.end(text);
  };
  return createHttpServer({
    routes: [
      {
        method: "GET",
        path: "/livez",
        handle: ({ response }) => sendJson(response, 200, { live: true }),
      },
      { method: "GET", path: "/readyz", handle: handleReady },
      { method: "GET", path: "/metrics", handle: handleMetrics },
      {
        method: "GET",
        path: "/status",
        handle: ({ response }) => sendJson(response, 200, options.getStatus()),
      },
    ],
    handleUnknown: ({ response }) => sendJson(response, 404, { error: "no such route" }),
    renderClientFault: (fault) => ({ status: 400, headers: {}, body: fault }),
    reportFault: (error) =>
      options.logger.error({ err: error }, "an operators' route failed"),
  });
};
