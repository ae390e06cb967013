/** The platform's services as the rest of the system sees them. */
import type { Result } from "@stairgauge/common";

/** Place of a row in the table service. */
export type RowKey = Readonly<{ table: string; key: string }>;

/** A row and the revision that a compare-and-set names. */
export type Row = Readonly<{ value: string; revision: number }>;

/** What a write expects to find: a revision, or no row. */
export type Expectation = Readonly<
  { kind: "absent" } | { kind: "revision"; revision: number }
>;

/** A conditional write. */
export type RowWrite = Readonly<{ at: RowKey; value: string; expected: Expectation }>;

/** Why a read failed. */
export type ReadFailure = Readonly<{ kind: "store_unavailable"; detail: string }>;

/** Why a write failed. */
export type WriteFailure = Readonly<
  /** The write surely took no effect: the store answered so, or was never reached. */
  | { kind: "store_unavailable"; detail: string }
  /** Another write came first; `current` is what stands there, if anything. */
  | { kind: "conflict"; current: Row | undefined }
  /** The answer was lost: the write may have taken effect. */
  | { kind: "answer_lost"; detail: string }
>;

/** The transactional table service. */
export type TableService = Readonly<{
  read: (at: RowKey) => Promise<Result<Row | undefined, ReadFailure>>;
  write: (write: RowWrite) => Promise<Result<Row, WriteFailure>>;
  /** Several writes in one call; each stands or falls alone, in the order given. */
  writeBatch: (
    writes: readonly RowWrite[],
  ) => Promise<readonly Result<Row, WriteFailure>[]>;
}>;

/** The object store: immutable content under its name. */
export type ObjectStore = Readonly<{
  read: (name: string) => Promise<Result<string | undefined, ReadFailure>>;
  write: (name: string, content: string) => Promise<Result<void, WriteFailure>>;
}>;

/** An entry of the platform's lagging list. */
export type ListedServer = Readonly<{
  name: string;
  kind: "box" | "backend_server";
  address: string;
  dataHall: string;
  state: "live" | "leaving";
}>;

/** The platform's list of live and leaving boxes and backend servers. */
export type BoxList = Readonly<{
  read: () => Promise<Result<readonly ListedServer[], ReadFailure>>;
}>;

/** All that the platform gives. */
export type Platform = Readonly<{
  table: TableService;
  objects: ObjectStore;
  boxes: BoxList;
  close: () => Promise<void>;
}>;
