/**
 * Protects the known rows of a table when the store is restored from a backup. The backup may lack or undo writes that the
 * store had acknowledged; their writers write them again. Until then the rules of the table decide which rows are used.
 */
import {
  assertNever,
  dropOldest,
  type Clock,
  type Ms,
  type Timer,
} from "@stairgauge/common";
import { compareRevisions, UNKNOWN_ERA, type StoreRevision } from "./revision.js";
import type { FollowerSink } from "./tableFollower.js";
import type { RestoreReport, RestoreRules, UnsettledRows } from "./restoreTypes.js";
import type { RowChange, StoredRow } from "./types.js";

/** Options of a guard. */
export type RestoreGuardOptions = Readonly<{
  clock: Clock;
  rules: RestoreRules;
  /** Called after the first whole read of the table since the restore. */
  onRestored: (report: RestoreReport) => void;
}>;

/** The guard of one table. */
export type RestoreGuard = Readonly<{
  /** Wraps the sink of a follower, which then receives the rows to be used. */
  observe: (inner: FollowerSink) => FollowerSink;
  /** Rows in which this box deviates from the store; none except after a restore. */
  listUnsettled: () => UnsettledRows;
  /** Applies the deviating rows of another box, after the first read of the table; ignored if of another era. */
  applyUnsettled: (received: UnsettledRows) => void;
}>;

/** How many keys of dropped rows are kept, the latest ones. */
const MAX_DROPPED = 4_096;

type MutableReport = Readonly<{
  undone: string[];
  missing: StoredRow[];
  withheld: StoredRow[];
}>;

/** Creates a guard without rows. */
export const createRestoreGuard = (options: RestoreGuardOptions): RestoreGuard => {
  const { clock, rules, onRestored } = options;
  /** The rows in use. */
  const known = new Map<string, StoredRow>();
  const dropped = new Set<string>();
  const withheld = new Map<string, StoredRow>();
  /** Rows received from other boxes before the table was read. */
  const deferredUnsettled: UnsettledRows[] = [];
  let notifyInner: (change: RowChange) => void = () => undefined;
  /** By key: the timer after which a row no longer deviates from the store. */
  const timers = new Map<string, Timer>();
  /** Of the latest answer; undefined before the first read. */
  let last: Readonly<{ asOf: Ms; revision: StoreRevision }> | undefined;
  /** Whether the first read of the era has not been applied to its end yet, which the sink may prevent by throwing. */
  let isRestoring = false;
  /** Versions of the current era up to this one may stem from the backup. */
  let backupVersion = -Infinity;

  const isUnsettled = (key: string) => timers.has(key);
  const settle = (key: string) => {
    timers.get(key)?.cancel();
    timers.delete(key);
    withheld.delete(key);
  };
  const settleAll = () => {
    for (const key of [...timers.keys()]) settle(key);
  };
  const recordDropped = (key: string) => {
    dropped.delete(key);
    dropped.add(key);
    dropOldest(dropped, MAX_DROPPED);
  };
  const applyChange = (change: RowChange) => {
    const key = change.kind === "put" ? change.row.key : change.key;
    settle(key);
    if (change.kind === "put") {
      known.set(key, change.row);
      dropped.delete(key);
    } else {
      known.delete(key);
      recordDropped(key);
    }
  };

  const isOfOtherEra = ({ revision }: StoredRow) =>
    last !== undefined && revision.era !== last.revision.era;
  const isFromBackup = ({ revision }: StoredRow) =>
    revision.era === last?.revision.era && revision.version <= backupVersion;

  /** Applies a change after a time, unless one is scheduled for the row already. */
  const scheduleChange = (duration: Ms, change: RowChange, key: string) => {
    if (isUnsettled(key)) return;
    const timer = clock.setTimer(duration, () => {
      applyChange(change);
      notifyInner(change);
    });
    timers.set(key, timer);
  };

  /** Whether a row that the backup lacks is used. */
  const admitMissing = (row: StoredRow): boolean => {
    const decision = rules.resolveMissing(row);
    const { key } = row;
    switch (decision.kind) {
      case "drop":
        return false;
      case "keep":
        return true;
      case "keep_for":
        scheduleChange(decision.duration, { kind: "gone", key }, key);
        return true;
      default:
        return assertNever(decision);
    }
  };
  /** Whether a row that was dropped is used again. */
  const admitDropped = (row: StoredRow): boolean => {
    const decision = rules.resolveDropped(row);
    switch (decision.kind) {
      case "take":
        return true;
      case "take_after":
        scheduleChange(decision.duration, { kind: "put", row }, row.key);
        withheld.set(row.key, row);
        return false;
      default:
        return assertNever(decision);
    }
  };

  /** Resolves a row of the backup. Returns the row to use, or undefined if it is withheld. */
  const resolveRestored = (
    row: StoredRow,
    report: MutableReport,
  ): StoredRow | undefined => {
    const before = known.get(row.key);
    if (before && isOfOtherEra(before) && rules.isUndone(before, row)) {
      report.undone.push(row.key);
      return before;
    }
    if (before || !dropped.has(row.key) || admitDropped(row)) return row;
    report.withheld.push(row);
    return undefined;
  };
  const resolveRow = (row: StoredRow, report: MutableReport) => {
    if (isFromBackup(row)) return resolveRestored(row, report);
    settle(row.key);
    return row;
  };
  const listMissing = (listed: ReadonlySet<string>) =>
    [...known.values()].filter(
      (row) => !listed.has(row.key) && isOfOtherEra(row) && admitMissing(row),
    );
  const resolveAll = (rows: readonly StoredRow[]) => {
    const report: MutableReport = { undone: [], missing: [], withheld: [] };
    const listed = new Set(rows.map(({ key }) => key));
    for (const key of [...withheld.keys()]) if (!listed.has(key)) settle(key);
    const usedRows = rows.flatMap((row) => resolveRow(row, report) ?? []);
    report.missing.push(...listMissing(listed));
    return { usedRows: [...usedRows, ...report.missing], report };
  };
  const replaceKnown = (usedRows: readonly StoredRow[]) => {
    const before = new Set(known.keys());
    known.clear();
    for (const row of usedRows) {
      known.set(row.key, row);
      before.delete(row.key);
      dropped.delete(row.key);
    }
    for (const key of before) recordDropped(key);
  };

  const applyKept = (row: StoredRow) => {
    const own = known.get(row.key);
    const isUsed = own ? rules.isUndone(row, own) : admitMissing(row);
    if (!isUsed) return;
    known.set(row.key, row);
    notifyInner({ kind: "put", row });
  };
  const applyWithheld = (row: StoredRow) => {
    const own = known.get(row.key);
    // A different revision here means that the row was written since.
    if (!own || compareRevisions(own.revision, row.revision) !== 0) return;
    if (admitDropped(row)) return;
    known.delete(row.key);
    notifyInner({ kind: "gone", key: row.key });
  };
  const applyUnsettled = (received: UnsettledRows) => {
    if (last === undefined) {
      deferredUnsettled.push(received);
      return;
    }
    if (received.era !== last.revision.era) return;
    received.kept.forEach(applyKept);
    received.withheld.forEach(applyWithheld);
  };

  const observe = (inner: FollowerSink): FollowerSink => {
    notifyInner = (change) => inner.onChanges([change], last!.asOf, last!.revision);
    return {
      ...inner,
      onWhole: (rows, asOf, revision) => {
        const isNewEra = last !== undefined && last.revision.era !== revision.era;
        last = { asOf, revision };
        if (isNewEra) {
          isRestoring = true;
          backupVersion = revision.version;
          settleAll();
        }
        const { usedRows, report } = resolveAll(rows);
        replaceKnown(usedRows);
        inner.onWhole(usedRows, asOf, revision);
        if (isRestoring)
          onRestored({ ...report, revision, rows: rows.length, isUnsettled });
        isRestoring = false;
        for (const received of deferredUnsettled.splice(0)) applyUnsettled(received);
      },
      onChanges: (changes, asOf, revision) => {
        last = { asOf, revision };
        changes.forEach(applyChange);
        inner.onChanges(changes, asOf, revision);
      },
    };
  };

  return {
    observe,
    listUnsettled: () => ({
      era: last?.revision.era ?? UNKNOWN_ERA,
      kept: [...known.values()].filter(isOfOtherEra),
      withheld: [...withheld.values()],
    }),
    applyUnsettled,
  };
};
