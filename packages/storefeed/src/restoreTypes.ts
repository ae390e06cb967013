/** What counts of a table when the store comes back from a copy, and how it differs from the copy. */
import type { Ms } from "@stairgauge/common";
import type { StoreRevision } from "./revision.js";
import type { StoredRow } from "./types.js";

/** What becomes of a known row that the copy lacks. */
export type MissingVerdict = Readonly<
  | { kind: "drop" }
  /** It counts until somebody writes or drops it. */
  | { kind: "keep" }
  | { kind: "keep_for"; duration: Ms }
>;

/** What becomes of a row of the copy that is known to have been dropped. */
export type DroppedVerdict = Readonly<
  { kind: "take" } | { kind: "take_after"; duration: Ms }
>;

/** What counts of one table until its writers have written again. */
export type RestoreRules = Readonly<{
  /** Whether the copy holds an earlier state of a row than is known. */
  isUndone: (known: StoredRow, copied: StoredRow) => boolean;
  resolveMissing: (known: StoredRow) => MissingVerdict;
  resolveDropped: (copied: StoredRow) => DroppedVerdict;
}>;

/** How what was known differs from the copy. */
export type RestoreReport = Readonly<{
  revision: StoreRevision;
  rows: number;
  /** Rows of which the copy has an earlier state; what was known counts. */
  undone: readonly string[];
  /** Rows that the copy lacks, and that count for now. */
  missing: readonly StoredRow[];
  /** Rows that were dropped, and that don't count for now. */
  withheld: readonly StoredRow[];
  /** Whether it still holds of a row that is missing or withheld. */
  isUnsettled: (key: string) => boolean;
}>;

/** Rows that count against the store's word at one box, as it tells them to one that has just started. */
export type UnsettledRows = Readonly<{
  era: number;
  /** Rows of other eras that count. */
  kept: readonly StoredRow[];
  /** Rows of the store that don't count. */
  withheld: readonly StoredRow[];
}>;
