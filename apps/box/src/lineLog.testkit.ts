/** A log whose lines, of whatever kind, a test takes. */
import type { DecisionLog } from "@stairgauge/telemetry";

/** Creates it; `write` takes each line. */
export const createLineLog = (
  write: (event: string, fields: Readonly<Record<string, unknown>>) => unknown,
): DecisionLog => {
  const writeLine: DecisionLog["writeDecision"] = (event, fields) =>
    void write(event, fields);
  return {
    writeDecision: writeLine,
    writeNotice: writeLine,
    writeWarning: writeLine,
    flush: () => undefined,
  };
};
