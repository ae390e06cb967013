/** Types for reading and writing tables of the platform's store. */
import type { Ms, Result } from "@stairgauge/common";
import type { StoreRevision } from "./revision.js";

/** One row of a table. */
export type StoredRow = Readonly<{ key: string; value: Buffer; revision: StoreRevision }>;

/** A change of a table: a row in its new state, or the key of a row that was dropped. */
export type RowChange = Readonly<
  { kind: "put"; row: StoredRow } | { kind: "gone"; key: string }
>;

/**
 * Where an answer comes from. The store's answer was true at some moment after the request was sent. The answer of another
 * box was true at the store at most `age` before that box sent it.
 */
export type AnswerSource = Readonly<{ kind: "store" } | { kind: "box"; age: Ms }>;

/** A whole table at one moment. */
export type TableSnapshot = Readonly<{
  rows: readonly StoredRow[];
  revision: StoreRevision;
  source: AnswerSource;
}>;

/** Changes since an earlier revision, in order; empty when the wait ended without a change. */
export type TableChanges = Readonly<{
  changes: readonly RowChange[];
  revision: StoreRevision;
  source: AnswerSource;
}>;

/** The source of an answer that another box has passed on. */
export type RelayedSource = Extract<AnswerSource, { kind: "box" }>;

/** Why a read brought no usable answer. */
export type StoreFailure = Readonly<
  | { kind: "unreachable"; detail: string }
  | { kind: "refused"; status: number }
  | { kind: "timed_out" }
  | { kind: "malformed"; detail: string }
  /** The changes since the given revision are no longer kept: the whole table must be read. */
  | { kind: "history_gone" }
>;

/** A request for a whole table. */
export type WholeRequest = Readonly<{
  table: string;
  /** Newest revision of the table that the caller has read; it cannot use an older answer. */
  atLeast: StoreRevision;
  signal: AbortSignal;
}>;

/** A request that waits for changes of a table. */
export type ChangesRequest = Readonly<{
  table: string;
  since: StoreRevision;
  /** How long to wait for a change. */
  wait: Ms;
  signal: AbortSignal;
}>;

/** Read operations of the store. */
export type StoreReader = Readonly<{
  readTable: (request: WholeRequest) => Promise<Result<TableSnapshot, StoreFailure>>;
  /** Resolves as soon as there is a change, or after `wait` without one. */
  awaitChanges: (request: ChangesRequest) => Promise<Result<TableChanges, StoreFailure>>;
}>;

/** Why a write is not confirmed. */
export type StoreWriteFailure = Readonly<
  /** Nothing was written. */
  | { kind: "refused"; status: number }
  /** The write may have been done, or may still be done later. */
  | { kind: "answer_lost"; detail: string }
>;

/** Write operations of the store that have no precondition. */
export type StoreWriter = Readonly<{
  putRow: (
    row: Readonly<{ table: string; key: string; value: Buffer; signal: AbortSignal }>,
  ) => Promise<Result<void, StoreWriteFailure>>;
  dropRow: (
    row: Readonly<{ table: string; key: string; signal: AbortSignal }>,
  ) => Promise<Result<void, StoreWriteFailure>>;
}>;
