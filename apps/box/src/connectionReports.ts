/** Reports connections that were ended, or that sent what is invalid, in log lines and metrics. */
import type { ClientLimit } from "@stairgauge/forwarding";
import type { PeerLimit } from "@stairgauge/peers";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";

/** A listener of a box, as log lines and metrics name it. */
export type ListenerName = "clients" | "ready" | "metrics" | "peers";

/** Creates the reports of one listener. */
export const createConnectionReports = (
  listener: ListenerName,
  { log, metrics }: Readonly<{ log: DecisionLog; metrics: BoxMetrics }>,
) => ({
  onClientError: (code: string) => log.writeDecision("client_fault", { listener, code }),
  onLimit: (limit: ClientLimit | PeerLimit) => {
    metrics.connectionsLimited.inc({ listener, limit });
    log.writeDecision("connection_limited", { listener, limit });
  },
});
