/** Logs and counts rows of the store's answers that can't be read: each row once a change of it. */
import { dropOldest, type Clock } from "@stairgauge/common";
import type { RowFault } from "@stairgauge/platform";
import type { BoxMetrics, DecisionLog } from "@stairgauge/telemetry";

/** Most rows on record; an older one may be reported again. */
const MAX_ROWS = 1_024;

/** Most characters of a key in the log; the store's keys are shorter. */
const MAX_KEY_LENGTH = 200;

/**
 * Lines of one table at once, and the time after which there may be one more: each read of a table with more bad rows than
 * are on record reports all of them, and a writer may change a bad row at any rate.
 */
const MAX_LINES = 32;
const LINE_INTERVAL_MS = 1_000;

/** Dependencies of the reporter. */
export type RowFaultSinks = Readonly<{
  clock: Pick<Clock, "monotonic">;
  log: Pick<DecisionLog, "writeWarning">;
  metrics: Pick<BoxMetrics, "unreadableRows">;
}>;

/** The lines of one table. */
type TableLines = {
  /** Time by which all its lines may be written again. */
  fullAt: number;
  /** Rows without a line since the last one. */
  leftOut: number;
};

/** Creates the reporter. A row is read again with each read of its whole table; its version says whether it has changed. */
export const createRowFaultReporter = ({ clock, log, metrics }: RowFaultSinks) => {
  const reported = new Set<string>();
  const linesByTable = new Map<string, TableLines>();

  const getLines = (table: string): TableLines => {
    const lines = linesByTable.get(table) ?? { fullAt: -Infinity, leftOut: 0 };
    linesByTable.set(table, lines);
    return lines;
  };
  /** Takes a line of the table; returns the number of rows that were left out before it, or undefined if there is none. */
  const takeLine = (table: string): number | undefined => {
    const lines = getLines(table);
    const now = clock.monotonic();
    const fullAt = Math.max(lines.fullAt, now) + LINE_INTERVAL_MS;
    if (fullAt - now > MAX_LINES * LINE_INTERVAL_MS) {
      lines.leftOut += 1;
      return undefined;
    }
    const { leftOut } = lines;
    Object.assign(lines, { fullAt, leftOut: 0 });
    return leftOut;
  };

  return (row: RowFault): void => {
    const { table, fault, version } = row;
    const key = row.key?.slice(0, MAX_KEY_LENGTH);
    const text = JSON.stringify([table, key, fault, version]);
    if (reported.has(text)) return;
    reported.add(text);
    dropOldest(reported, MAX_ROWS);
    metrics.unreadableRows.inc({ table, fault });
    const leftOut = takeLine(table);
    if (leftOut !== undefined)
      log.writeWarning("row_unreadable", { table, key, fault, version, leftOut });
  };
};
