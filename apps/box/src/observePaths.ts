/** Log lines and metrics of a box's paths to servers, and of the requests that other boxes carry for it. */
import type { AnswerExcess, CarryEvent, SmallPieces } from "@stairgauge/forwarding";
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
  /** An answer that this box reads from `address` (IP:PORT) itself exceeds a limit; its connection is closed. */
  onAnswerOverLimit: (address: string, excess: AnswerExcess): void => {
    metrics.answersOverLimit.inc({ limit: excess.limit });
    log.writeDecision("answer_over_limit", { address, ...excess });
  },
  /** The rest of an answer from `address` (IP:PORT) is read in turn with long reads, since it comes in small pieces. */
  onSmallPieces: (address: string, pieces: SmallPieces): void => {
    metrics.answersInSmallPieces.inc();
    log.writeDecision("answer_in_small_pieces", { address, ...pieces });
  },
  /** A call to `address` (IP:PORT) could not be made; nothing was sent. */
  onUnsendable: (address: string, detail: string): void => {
    metrics.unsendableCalls.inc();
    log.writeDecision("call_unsendable", { address, detail });
  },
  onCarryEvent: (event: CarryEvent): void => {
    if (event.kind === "answer_over_limit")
      metrics.answersOverLimit.inc({ limit: event.limit });
    if (event.kind === "call_unsendable") metrics.unsendableCalls.inc();
    else metrics.carrySteps.inc({ step: event.kind });
    // The line of the request itself names the carrier.
    if (event.kind === "carried") return;
    const { kind, ...fields } = event;
    log.writeDecision(kind, fields);
  },
});
