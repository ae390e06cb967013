/** Which rows of a table are used after the store was restored from a backup that lacks some of its writes. */
import type { Ms } from "@stairgauge/common";
import type { StoreRevision } from "./revision.js";
import type { StoredRow } from "./types.js";

/** What to do with a known row that the backup lacks. */
export type MissingRowDecision = Readonly<
  | { kind: "drop" }
  /** The row is used until it is written or dropped at the store. */
  | { kind: "keep" }
  /** The row is used for this time, or until it is written or dropped at the store. */
  | { kind: "keep_for"; duration: Ms }
>;

/** What to do with a row of the backup that is known to have been dropped: use it at once, or after a time. */
export type DroppedRowDecision = Readonly<
  { kind: "take" } | { kind: "take_after"; duration: Ms }
>;

/** Rules for the rows of one table, until its writers have written them again after a restore. */
export type RestoreRules = Readonly<{
  /** Whether the restored row is an earlier state than the known one. */
  isUndone: (known: StoredRow, restored: StoredRow) => boolean;
  resolveMissing: (known: StoredRow) => MissingRowDecision;
  resolveDropped: (restored: StoredRow) => DroppedRowDecision;
}>;

/** How the rows known before a restore differ from the backup. */
export type RestoreReport = Readonly<{
  revision: StoreRevision;
  /** Number of rows in the backup. */
  rows: number;
  /** Keys of rows of which the backup has an earlier state; the known state is used. */
  undone: readonly string[];
  /** Rows that the backup lacks and that are used for now. */
  missing: readonly StoredRow[];
  /** Rows of the backup that had been dropped and are not used for now. */
  withheld: readonly StoredRow[];
  /** Whether the row is still used, or withheld, for a limited time. */
  isUnsettled: (key: string) => boolean;
}>;

/** Rows in which a box deviates from the restored store. It sends them to a box that has just started. */
export type UnsettledRows = Readonly<{
  era: number;
  /** Rows of other eras that are still used. */
  kept: readonly StoredRow[];
  /** Rows of the store that are not used. */
  withheld: readonly StoredRow[];
}>;
