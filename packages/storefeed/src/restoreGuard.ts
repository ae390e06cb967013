/**
 * Guards what is known of a table when the store comes back from a copy. The copy may lack or undo what the store had
 * acknowledged; whoever wrote it writes it again. Until then each table has rules for what counts.
 */
import { assertNever, type Clock, type Ms, type Timer } from "@stairgauge/common";
import { compareRevisions, UNKNOWN_ERA, type StoreRevision } from "./revision.js";
import type { FollowerSink } from "./tableFollower.js";
import type { RestoreReport, RestoreRules, UnsettledRows } from "./restoreTypes.js";
import type { RowChange, StoredRow } from "./types.js";

/** What the guard needs. */
export type RestoreGuardOptions = Readonly<{
  clock: Clock;
  rules: RestoreRules;
  /** The table has been read whole for the first time since the store came back. */
  onRestored: (report: RestoreReport) => void;
}>;

/** The guard of one table. */
export type RestoreGuard = Readonly<{
  /** Follows along before the sink given, which hears what counts. */
  observe: (inner: FollowerSink) => FollowerSink;
  /** Nothing most of the time. */
  listUnsettled: () => UnsettledRows;
  /** Takes what another box knows beyond the store's copy. */
  takeUnsettled: (told: UnsettledRows) => void;
}>;

/** Keys of dropped rows that are remembered, the latest ones. */
const MAX_DROPPED = 4_096;

type MutableReport = Readonly<{
  undone: string[];
  missing: StoredRow[];
  withheld: StoredRow[];
}>;

/** Creates a guard that knows no rows. */
export const createRestoreGuard = (options: RestoreGuardOptions): RestoreGuard => {
  const { clock, rules, onRestored } = options;
  /** Rows as they count. */
  const known = new Map<string, StoredRow>();
  const dropped = new Set<string>();
  const withheld = new Map<string, StoredRow>();
  /** What others told before the table was read. */
  const toldEarly: UnsettledRows[] = [];
  let tellInner: (change: RowChange) => void = () => undefined;
  /** Ends of the time for which a row counts, or doesn't, against the store's word. */
  const waits = new Map<string, Timer>();
  let last: Readonly<{ asOf: Ms; revision: StoreRevision }> | undefined;
  /** Versions of the era up to this one may be the copy's. */
  let copiedUpTo = -Infinity;

  const isUnsettled = (key: string) => waits.has(key);
  const settle = (key: string) => {
    waits.get(key)?.cancel();
    waits.delete(key);
    withheld.delete(key);
  };
  const settleAll = () => {
    for (const key of [...waits.keys()]) settle(key);
  };
  const recordDropped = (key: string) => {
    dropped.delete(key);
    dropped.add(key);
    const [oldest] = dropped;
    if (dropped.size > MAX_DROPPED) dropped.delete(oldest!);
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
  const isCopied = ({ revision }: StoredRow) =>
    revision.era === last?.revision.era && revision.version <= copiedUpTo;

  /** Lets a change count that comes with time, not from the store. */
  const changeAfter = (duration: Ms, change: RowChange, key: string) => {
    if (isUnsettled(key)) return;
    const timer = clock.setTimer(duration, () => {
      applyChange(change);
      tellInner(change);
    });
    waits.set(key, timer);
  };

  /** Whether a row that the copy lacks counts. */
  const admitMissing = (row: StoredRow): boolean => {
    const verdict = rules.resolveMissing(row);
    const { key } = row;
    switch (verdict.kind) {
      case "drop":
        return false;
      case "keep":
        return true;
      case "keep_for":
        changeAfter(verdict.duration, { kind: "gone", key }, key);
        return true;
      default:
        return assertNever(verdict);
    }
  };
  /** Whether a row that was dropped counts again. */
  const admitDropped = (row: StoredRow): boolean => {
    const verdict = rules.resolveDropped(row);
    switch (verdict.kind) {
      case "take":
        return true;
      case "take_after":
        changeAfter(verdict.duration, { kind: "put", row }, row.key);
        withheld.set(row.key, row);
        return false;
      default:
        return assertNever(verdict);
    }
  };

  /** The row that counts, if any. */
  const judgeCopied = (row: StoredRow, report: MutableReport): StoredRow | undefined => {
    const before = known.get(row.key);
    if (before && isOfOtherEra(before) && rules.isUndone(before, row)) {
      report.undone.push(row.key);
      return before;
    }
    if (before || !dropped.has(row.key) || admitDropped(row)) return row;
    report.withheld.push(row);
    return undefined;
  };
  const judgeRow = (row: StoredRow, report: MutableReport) => {
    if (isCopied(row)) return judgeCopied(row, report);
    settle(row.key);
    return row;
  };
  const listMissing = (listed: ReadonlySet<string>) =>
    [...known.values()].filter(
      (row) => !listed.has(row.key) && isOfOtherEra(row) && admitMissing(row),
    );
  const judgeAll = (rows: readonly StoredRow[]) => {
    const report: MutableReport = { undone: [], missing: [], withheld: [] };
    const listed = new Set(rows.map(({ key }) => key));
    for (const key of [...withheld.keys()]) if (!listed.has(key)) settle(key);
    const counting = rows.flatMap((row) => judgeRow(row, report) ?? []);
    report.missing.push(...listMissing(listed));
    return { counting: [...counting, ...report.missing], report };
  };
  const replaceKnown = (counting: readonly StoredRow[]) => {
    const before = new Set(known.keys());
    known.clear();
    for (const row of counting) {
      known.set(row.key, row);
      before.delete(row.key);
      dropped.delete(row.key);
    }
    for (const key of before) recordDropped(key);
  };

  const takeKept = (row: StoredRow) => {
    const own = known.get(row.key);
    const counts = own ? rules.isUndone(row, own) : admitMissing(row);
    if (!counts) return;
    known.set(row.key, row);
    tellInner({ kind: "put", row });
  };
  const takeWithheld = (row: StoredRow) => {
    const own = known.get(row.key);
    // A box that knows another state of it has heard of it later.
    if (!own || compareRevisions(own.revision, row.revision) !== 0) return;
    if (admitDropped(row)) return;
    known.delete(row.key);
    tellInner({ kind: "gone", key: row.key });
  };
  const takeUnsettled = (told: UnsettledRows) => {
    if (last === undefined) {
      toldEarly.push(told);
      return;
    }
    if (told.era !== last.revision.era) return;
    told.kept.forEach(takeKept);
    told.withheld.forEach(takeWithheld);
  };

  const observe = (inner: FollowerSink): FollowerSink => {
    tellInner = (change) => inner.onChanges([change], last!.asOf, last!.revision);
    return {
      ...inner,
      onWhole: (rows, asOf, revision) => {
        const isNewEra = last !== undefined && last.revision.era !== revision.era;
        last = { asOf, revision };
        if (isNewEra) {
          copiedUpTo = revision.version;
          settleAll();
        }
        const { counting, report } = judgeAll(rows);
        replaceKnown(counting);
        inner.onWhole(counting, asOf, revision);
        if (isNewEra) onRestored({ ...report, revision, rows: rows.length, isUnsettled });
        for (const told of toldEarly.splice(0)) takeUnsettled(told);
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
    takeUnsettled,
  };
};
