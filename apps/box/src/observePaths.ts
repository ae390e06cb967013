/** Log lines and metrics of a box's paths to servers, and of the requests that other boxes carry for it. */
import type { CarryEvent } from "@stairgauge/forwarding";
import type { PathEvent } from "@stairgauge/paths";
import { roundNumbers } from "./roundNumbers.js";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";

export type PathObserverOptions = Readonly<{
  log: DecisionLog;
  metrics: BoxMetrics;
  countLost: () => number;
}>;

/** Writes changes of the paths, and steps of carried requests. */
export const observePaths = ({ log, metrics, countLost }: PathObserverOptions) => ({
  onPathEvent: ({ kind, ...fields }: PathEvent): void => {
    metrics.lostPaths.set(countLost());
    log.writeNotice(`path_${kind}`, roundNumbers(fields));
  },
  onCarryEvent: (event: CarryEvent): void => {
    metrics.carrySteps.inc({ step: event.kind });
    // The line of the request itself names the carrier.
    if (event.kind === "carried") return;
    const { kind, ...fields } = event;
    log.writeDecision(kind, fields);
  },
});
