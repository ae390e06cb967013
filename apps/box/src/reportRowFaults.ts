/** Logs and counts rows of the store's answers that can't be read: each row once a change of it. */
import { dropOldest } from "@stairgauge/common";
import type { RowFault } from "@stairgauge/platform";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";

/** Most rows on record; an older one may be logged again. */
const MAX_ROWS = 1_024;

/** Most characters of a key in the log; the store's keys are shorter. */
const MAX_KEY_LENGTH = 200;

/** Dependencies of the reporter. */
export type RowFaultSinks = Readonly<{
  log: Pick<DecisionLog, "writeWarning">;
  metrics: Pick<BoxMetrics, "unreadableRows">;
}>;

/** Creates the reporter. A row is read again with each read of its whole table; its version says whether it has changed. */
export const createRowFaultReporter = ({ log, metrics }: RowFaultSinks) => {
  const reported = new Set<string>();

  return (row: RowFault): void => {
    const { table, fault, version } = row;
    const key = row.key?.slice(0, MAX_KEY_LENGTH);
    const text = JSON.stringify([table, key, fault, version]);
    if (reported.has(text)) return;
    reported.add(text);
    dropOldest(reported, MAX_ROWS);
    metrics.unreadableRows.inc({ table, fault });
    log.writeWarning("row_unreadable", { table, key, fault, version });
  };
};
