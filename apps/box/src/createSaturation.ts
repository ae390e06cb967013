/** Creates what measures whether this box has the processor time that its work needs, and what it takes on by it. */
import type { Clock } from "@stairgauge/common";
import {
  createIntake,
  createLoopMeter,
  readLoop,
  type Backlog,
  type Intake,
  type LoopMeter,
  type LoopReading,
} from "@stairgauge/saturation";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";
import { observeSaturation } from "./observeSaturation.js";

export type SaturationOptions = Readonly<{
  clock: Clock;
  log: DecisionLog;
  metrics: BoxMetrics;
  /** Requests that this box works on, and connections that have sent none yet. */
  countOpen: () => number;
  /** Reads how many connections wait to be read. */
  readBacklog: () => Backlog;
  /** Reads what the event loop has used; that of this process if undefined. */
  readLoop?: (() => LoopReading) | undefined;
}>;

export type Saturation = Readonly<{ meter: LoopMeter; intake: Intake }>;

/** Creates the parts; the measurement has not been started. */
export const createSaturation = (options: SaturationOptions): Saturation => {
  const { clock, countOpen, readBacklog, log, metrics } = options;
  const observer = observeSaturation({ log, metrics });
  const intake = createIntake({
    clock,
    countOpen,
    readBacklog,
    onEvent: observer.onEvent,
  });
  const meter = createLoopMeter({
    clock,
    read: options.readLoop ?? readLoop,
    onWindow: (window) => {
      observer.onWindow(window);
      intake.applyWindow(window);
    },
  });
  const recordTurnedAway: Intake["recordTurnedAway"] = (reason, waited) => {
    metrics.turnedAway.inc({ reason });
    intake.recordTurnedAway(reason, waited);
  };
  return { meter, intake: { ...intake, recordTurnedAway } };
};
