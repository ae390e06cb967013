/** Log lines and metrics of whether a box has the processor time that its work needs. */
import type { LoopWindow, SaturationEvent } from "@stairgauge/saturation";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { roundNumbers } from "./roundNumbers.js";

export type SaturationObserverOptions = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
}>;

const TARGET_STATE = { processor_short: "short", processor_enough: "enough" } as const;

/** Writes the windows to the metrics, and changes of the state to the log as well. */
export const observeSaturation = ({ log, metrics }: SaturationObserverOptions) => ({
  onWindow: ({ busyShare, processorShare }: LoopWindow): void => {
    metrics.loopBusyShare.set(busyShare);
    metrics.processorShare.set(processorShare);
  },
  onEvent: ({ kind, ...fields }: SaturationEvent): void => {
    if (kind !== "connections_closed_unread")
      metrics.processorShort.inc({ to: TARGET_STATE[kind] });
    log.writeNotice(kind, roundNumbers(fields));
  },
});
