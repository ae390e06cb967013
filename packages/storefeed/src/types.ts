/** Rows of the platform's store, as a follower of one table sees them. */
import type { Ms, Result } from "@stairgauge/common";
import type { StoreRevision } from "./revision.js";

/** One row of a table. */
export type StoredRow = Readonly<{ key: string; value: Buffer; revision: StoreRevision }>;

/** A change of a table: a row as it is now, or one that was dropped. */
export type RowChange = Readonly<
  { kind: "put"; row: StoredRow } | { kind: "gone"; key: string }
>;

/**
 * Who answered. The store's answer was true at some moment after it was asked. What another box hands on was true at the
 * store at most `age` before it answered.
 */
export type AnswerSource = Readonly<{ kind: "store" } | { kind: "box"; age: Ms }>;

/** The whole of a table at one moment. */
export type TableSnapshot = Readonly<{
  rows: readonly StoredRow[];
  revision: StoreRevision;
  source: AnswerSource;
}>;

/** Changes since an earlier revision, in order; none when the wait ended without one. */
export type TableChanges = Readonly<{
  changes: readonly RowChange[];
  revision: StoreRevision;
  source: AnswerSource;
}>;

/** What another box hands on. */
export type RelayedSource = Extract<AnswerSource, { kind: "box" }>;

/** Why the store gave no answer that can be used. */
export type StoreFailure = Readonly<
  | { kind: "unreachable"; detail: string }
  | { kind: "refused"; status: number }
  | { kind: "timed_out" }
  | { kind: "malformed"; detail: string }
  /** The history since the revision is gone: read the table whole. */
  | { kind: "history_gone" }
>;

/** A call for a whole table. */
export type WholeRequest = Readonly<{
  table: string;
  /** Revision of the table that the caller knows; an older answer is of no use to it. */
  atLeast: StoreRevision;
  signal: AbortSignal;
}>;

/** A call that waits for changes. */
export type ChangesRequest = Readonly<{
  table: string;
  since: StoreRevision;
  wait: Ms;
  signal: AbortSignal;
}>;

/** Reading calls of the store. */
export type StoreReader = Readonly<{
  readTable: (request: WholeRequest) => Promise<Result<TableSnapshot, StoreFailure>>;
  /** Answers as soon as there is a change, or after `wait` without one. */
  awaitChanges: (request: ChangesRequest) => Promise<Result<TableChanges, StoreFailure>>;
}>;

/** Why a write is not known to be done. */
export type StoreWriteFailure = Readonly<
  /** Nothing was done. */
  | { kind: "refused"; status: number }
  /** It may have been done, or may still be. */
  | { kind: "answer_lost"; detail: string }
>;

/** Writing calls of the store that need no condition. */
export type StoreWriter = Readonly<{
  putRow: (
    row: Readonly<{ table: string; key: string; value: Buffer; signal: AbortSignal }>,
  ) => Promise<Result<void, StoreWriteFailure>>;
  dropRow: (
    row: Readonly<{ table: string; key: string; signal: AbortSignal }>,
  ) => Promise<Result<void, StoreWriteFailure>>;
}>;
