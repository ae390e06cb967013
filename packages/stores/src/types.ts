/** Interfaces of the platform's services. */
import type { Result } from "@stairgauge/common";

/** Table and key of a row in the table service. */
export type RowKey = Readonly<{ table: string; key: string }>;

/** Value of a row, and its revision for a conditional write. */
export type Row = Readonly<{ value: string; revision: number }>;

/** Condition of a write: the row has this revision, or does not exist. */
export type Expectation = Readonly<
  { kind: "absent" } | { kind: "revision"; revision: number }
>;

/** A write that takes effect only if the row matches `expected`. */
export type RowWrite = Readonly<{ at: RowKey; value: string; expected: Expectation }>;

/** Why a read failed. */
export type ReadFailure = Readonly<{ kind: "store_unavailable"; detail: string }>;

/** Why a write failed. */
export type WriteFailure = Readonly<
  /** The write had no effect: the store refused it or was not reached. */
  | { kind: "store_unavailable"; detail: string }
  /** The row does not match `expected`; `current` is the stored row, undefined if there is none. */
  | { kind: "conflict"; current: Row | undefined }
  /** No valid answer was received: the write may have had an effect. */
  | { kind: "answer_lost"; detail: string }
>;

/** The transactional table service. */
export type TableService = Readonly<{
  /** Reads a row; undefined if it does not exist. */
  read: (at: RowKey) => Promise<Result<Row | undefined, ReadFailure>>;
  write: (write: RowWrite) => Promise<Result<Row, WriteFailure>>;
  /** Sends several writes in one call. Each succeeds or fails on its own; they are applied and answered in the given order. */
  writeBatch: (
    writes: readonly RowWrite[],
  ) => Promise<readonly Result<Row, WriteFailure>[]>;
}>;

/** The object store, which holds immutable content by name. */
export type ObjectStore = Readonly<{
  /** Reads an object; undefined if it does not exist. */
  read: (name: string) => Promise<Result<string | undefined, ReadFailure>>;
  write: (name: string, content: string) => Promise<Result<void, WriteFailure>>;
}>;

/** An entry of the platform's server list, which may lag behind the real state. */
export type ListedServer = Readonly<{
  name: string;
  kind: "box" | "backend_server";
  address: string;
  dataHall: string;
  state: "live" | "leaving";
}>;

/** Client of the platform's list of boxes and backend servers that are live or leaving. */
export type BoxList = Readonly<{
  read: () => Promise<Result<readonly ListedServer[], ReadFailure>>;
}>;

/** Clients of all services of the platform. */
export type Platform = Readonly<{
  table: TableService;
  objects: ObjectStore;
  boxes: BoxList;
  close: () => Promise<void>;
}>;
