/** Listeners for readiness checks and for metrics. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Ms } from "@stairgauge/common";
import {
  createBoundedListener,
  type BoundedListener,
  type ListenerLimits,
} from "@stairgauge/forwarding";
import { READY_PATH } from "@stairgauge/platform";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { createConnectionReports, type ListenerName } from "./connectionReports.js";

/**
 * Connections at each of these listeners: some balancers and operators keep one each. What is beyond it are mostly
 * connections that send nothing.
 */
const MAX_CONNECTIONS = 32;
const SPARE_CONNECTIONS = 8;
const MAX_KEPT_CONNECTIONS = MAX_CONNECTIONS / 2;

const BYTES_PER_MB = 1024 * 1024;

/** A check sends its request as soon as it is connected, so the newest connections are always taken. */
const MIN_IDLE = { unused: 0 as Ms, used: 0 as Ms, unread: 0 as Ms } as const;

/** Metrics are read every few seconds; a request within this time gets the text of the one before. */
const METRICS_AGE_MS = 1_000;

const makeLimits = (unreadMb: number): ListenerLimits => ({
  getMaxConnections: () => MAX_CONNECTIONS,
  spareConnections: SPARE_CONNECTIONS,
  maxUnreadBytes: unreadMb * BYTES_PER_MB,
  minIdle: MIN_IDLE,
  maxKeptConnections: MAX_KEPT_CONNECTIONS,
});

/** Options of these listeners. */
export type SmallServerOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
}>;

type Kind = Readonly<{
  listener: ListenerName;
  unreadMb: number;
  handle: (incoming: IncomingMessage, response: ServerResponse) => void;
}>;

const createSmallServer = (
  options: SmallServerOptions,
  { listener, unreadMb, handle }: Kind,
): BoundedListener => {
  const reports = createConnectionReports(listener, options);
  return createBoundedListener({
    clock: options.clock,
    limits: makeLimits(unreadMb),
    handle,
    onDrop: () => reports.onClientError("too_many_connections"),
    ...reports,
  });
};

/** Answers the readiness checks of the platform's load balancer. */
export const createReadyServer = (
  options: SmallServerOptions,
  isReady: () => boolean,
): BoundedListener =>
  createSmallServer(options, {
    listener: "ready",
    unreadMb: 1,
    handle: (incoming, response) => {
      const isAsked = incoming.url === READY_PATH;
      response.writeHead(isAsked ? (isReady() ? 200 : 503) : 404, [
        "Content-Length",
        "0",
      ]);
      response.end();
    },
  });

/** Returns a function that builds the text of the metrics, once for all who ask within `METRICS_AGE_MS`. */
const createMetricsText = ({ clock, metrics }: SmallServerOptions) => {
  let text: Promise<Buffer> | undefined;
  let builtAt = -Infinity;
  return (): Promise<Buffer> => {
    if (text && clock.monotonic() - builtAt < METRICS_AGE_MS) return text;
    builtAt = clock.monotonic();
    text = metrics.registry.metrics().then((built) => Buffer.from(built));
    return text;
  };
};

/** Answers with the metrics of the process. */
export const createMetricsServer = (options: SmallServerOptions): BoundedListener => {
  const { contentType } = options.metrics.registry;
  const getText = createMetricsText(options);
  return createSmallServer(options, {
    listener: "metrics",
    unreadMb: 4,
    handle: (_incoming, response) => {
      const answer = (status: number, body: Buffer) => {
        response.writeHead(status, {
          "Content-Type": contentType,
          "Content-Length": body.length,
        });
        response.end(body);
      };
      getText().then(
        (text) => answer(200, text),
        (error: unknown) => answer(500, Buffer.from(String(error))),
      );
    },
  });
};
