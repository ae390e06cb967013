/** A log for tests that passes lines of all levels to one function. */
import type { DecisionLog } from "@stairgauge/telemetry";

/** Creates the log; `write` is called with each line. */
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
