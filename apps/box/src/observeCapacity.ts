/** Log lines and metrics of contended services and of the admission of their requests. */
import type { CapacityEvent } from "@stairgauge/capacity";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";

export type CapacityObserverOptions = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
  countContended: () => number;
}>;

const MS_PER_S = 1000;

const observeWait = (metrics: BoxMetrics, event: CapacityEvent): void => {
  switch (event.kind) {
    case "plain_admitted":
    case "plain_refused":
    case "plain_given_up":
      metrics.plainWaitSeconds.observe({ end: event.kind }, event.waited / MS_PER_S);
      return;
    default:
  }
};

/** Writes events to the log and the metrics. */
export const observeCapacity =
  ({ log, metrics, countContended }: CapacityObserverOptions) =>
  (event: CapacityEvent): void => {
    const { kind, ...fields } = event;
    metrics.capacityDecisions.inc({ kind });
    metrics.contendedServices.set(countContended());
    observeWait(metrics, event);
    log.writeDecision(kind, fields);
  };
