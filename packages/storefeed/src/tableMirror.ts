/** One table as a box has last read it, kept in memory to answer other boxes. Each answer carries its age. */
import { Err, Ok, type Clock, type Ms, type Result } from "@stairgauge/common";
import {
  INITIAL_REVISION,
  isEarlierRevision,
  pickLaterRevision,
  UNKNOWN_ERA,
  type StoreRevision,
} from "./revision.js";
import type { FollowerSink } from "./tableFollower.js";
import type {
  ChangesRequest,
  RelayedSource,
  RowChange,
  StoredRow,
  TableChanges,
  TableSnapshot,
} from "./types.js";

/** Why a mirror cannot answer. */
export type MirrorFailure = Readonly<
  /** The table has not been read yet. */
  | { kind: "not_known" }
  /** The changes since the requested revision are no longer kept. */
  | { kind: "history_gone" }
>;

type Relayed<T> = T & Readonly<{ source: RelayedSource }>;

/** The mirror of one table. */
export type TableMirror = Readonly<{
  /** Wraps the sink of a follower: updates the mirror, then passes each call on. */
  observe: (inner: FollowerSink) => FollowerSink;
  /** How long ago the mirrored rows were true at the store, at most; infinite before the first read. */
  getAge: () => Ms;
  readWhole: () => Result<Relayed<TableSnapshot>, MirrorFailure>;
  /** Resolves once the mirror has reached the revision, or after the wait; at once if the table was never read. */
  awaitRevision: (request: AwaitRevisionRequest) => Promise<void>;
  /** Does the same as the store's `awaitChanges`, from the mirror. */
  awaitChanges: (
    request: Pick<ChangesRequest, "since" | "wait">,
  ) => Promise<Result<Relayed<TableChanges>, MirrorFailure>>;
}>;

/** Changes kept; a box that is further behind has to read the whole table. */
const MAX_CHANGES = 200;

type KeptChange = Readonly<{ change: RowChange; revision: StoreRevision }>;

/** The earliest revision that the caller can use, and how long to wait for it. */
export type AwaitRevisionRequest = Readonly<{ atLeast: StoreRevision; wait: Ms }>;

/** Creates a mirror without rows, of a table that has not been read. */
export const createTableMirror = (clock: Clock): TableMirror => {
  const rows = new Map<string, StoredRow>();
  let changes: KeptChange[] = [];
  let revision: StoreRevision | undefined;
  /** All changes after this revision are kept. */
  let keptSince = INITIAL_REVISION;
  let confirmedAt = -Infinity;
  const waiting = new Set<() => void>();

  const getSource = (): RelayedSource => ({
    kind: "box",
    age: (clock.monotonic() - confirmedAt) as Ms,
  });
  const endWaits = () => {
    for (const endWait of [...waiting]) endWait();
  };
  const confirm = (asOf: Ms) => {
    confirmedAt = Math.max(confirmedAt, asOf);
  };

  const applyWhole = (all: readonly StoredRow[], asOf: Ms, at: StoreRevision) => {
    rows.clear();
    for (const row of all) rows.set(row.key, row);
    changes = [];
    revision = at;
    keptSince = at;
    confirm(asOf);
    endWaits();
  };
  const applyChange = (change: RowChange, at: StoreRevision) => {
    if (change.kind === "put") rows.set(change.row.key, change.row);
    else rows.delete(change.key);
    changes.push({ change, revision: at });
  };
  const dropOldest = () => {
    while (changes.length > MAX_CHANGES) keptSince = changes.shift()!.revision;
  };
  const applyChanges = (
    newChanges: readonly RowChange[],
    asOf: Ms,
    at: StoreRevision,
  ) => {
    for (const change of newChanges) applyChange(change, at);
    dropOldest();
    revision = at;
    confirm(asOf);
    endWaits();
  };

  const listSince = (since: StoreRevision): readonly RowChange[] =>
    changes
      .filter((kept) => isEarlierRevision(since, kept.revision))
      .map(({ change }) => change);

  const answerChanges = (
    requested: StoreRevision,
  ): Result<Relayed<TableChanges>, MirrorFailure> => {
    if (revision === undefined) return Err({ kind: "not_known" });
    // A box of an earlier release sends no era; it means the era of the answer that it received last.
    const since =
      requested.era === UNKNOWN_ERA ? { ...requested, era: revision.era } : requested;
    if (isEarlierRevision(since, keptSince)) return Err({ kind: "history_gone" });
    return Ok({
      changes: listSince(since),
      revision: pickLaterRevision(since, revision),
      source: getSource(),
    });
  };

  const isBehind = (state: StoreRevision) =>
    revision !== undefined && isEarlierRevision(revision, state);

  /** Also ends when the store confirms the table without a change: the age in the answer is lowest then. */
  const waitForUpdate = (duration: Ms) =>
    new Promise<void>((resolve) => {
      const endWait = () => {
        waiting.delete(endWait);
        timer.cancel();
        resolve();
      };
      const timer = clock.setTimer(duration, endWait);
      waiting.add(endWait);
    });

  return {
    observe: (inner) => ({
      ...inner,
      onWhole: (all, asOf, at) => {
        applyWhole(all, asOf, at);
        inner.onWhole(all, asOf, at);
      },
      onChanges: (newChanges, asOf, at) => {
        applyChanges(newChanges, asOf, at);
        inner.onChanges(newChanges, asOf, at);
      },
    }),
    getAge: () => getSource().age,
    readWhole: () =>
      revision === undefined
        ? Err({ kind: "not_known" })
        : Ok({ rows: [...rows.values()], revision, source: getSource() }),
    awaitRevision: async ({ atLeast, wait }) => {
      if (isBehind(atLeast)) await waitForUpdate(wait);
    },
    awaitChanges: async ({ since, wait }) => {
      const now = answerChanges(since);
      if (now.err || now.val.changes.length > 0) return now;
      if (wait > 0) await waitForUpdate(wait);
      return answerChanges(since);
    },
  };
};
