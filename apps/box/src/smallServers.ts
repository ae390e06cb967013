/** Listeners for readiness checks and for metrics. */
import { createServer, type Server } from "node:http";
import { toHostAndPort } from "@stairgauge/common";
import { READY_PATH } from "@stairgauge/platform";
import type { BoxMetrics } from "@stairgauge/telemetry";

/** Answers the readiness checks of the platform's load balancer. */
export const createReadyServer = (isReady: () => boolean): Server =>
  createServer((incoming, response) => {
    const isAsked = incoming.url === READY_PATH;
    response.writeHead(isAsked ? (isReady() ? 200 : 503) : 404, ["Content-Length", "0"]);
    response.end();
  });

export const createMetricsServer = ({ registry }: BoxMetrics): Server =>
  createServer((_incoming, response) => {
    void registry.metrics().then((text) => {
      response.writeHead(200, ["Content-Type", registry.contentType]);
      response.end(text);
    });
  });

/**
 * Listens on an address. Resolves to the port, which the system picks if the address has port
 * 0.
 */
export const listenOn = (server: Server, address: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const { host, port } = toHostAndPort(address);
    server.once("error", reject);
    server.listen({ host, port }, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : port);
    });
  });
