/** What a box knows of one table, kept so that it can be handed on to other boxes with its age. */
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

/** Why a box cannot answer for a table. */
export type MirrorFailure = Readonly<
  /** It has not read the table yet. */
  | { kind: "not_known" }
  /** It no longer keeps the changes since that revision. */
  | { kind: "history_gone" }
>;

type Relayed<T> = T & Readonly<{ source: RelayedSource }>;

/** A table as one box knows it. */
export type TableMirror = Readonly<{
  /** Follows along before the sink given. */
  observe: (inner: FollowerSink) => FollowerSink;
  /** How long ago what it holds was true at the store, at most. */
  getAge: () => Ms;
  readWhole: () => Result<Relayed<TableSnapshot>, MirrorFailure>;
  /** Resolves once the table is as new as that, or the wait is over; at once where it was never read. */
  awaitState: (useful: UsefulState) => Promise<void>;
  /** As the store does, from what this box knows. */
  awaitChanges: (
    request: Pick<ChangesRequest, "since" | "wait">,
  ) => Promise<Result<Relayed<TableChanges>, MirrorFailure>>;
}>;

/** Changes kept; a box that is further behind reads the table whole. */
const MAX_CHANGES = 200;

type KeptChange = Readonly<{ change: RowChange; revision: StoreRevision }>;

/** Which state of the table is of use to who asks, and how long it may be waited for. */
export type UsefulState = Readonly<{ atLeast: StoreRevision; wait: Ms }>;

/** Creates a mirror that knows nothing yet. */
export const createTableMirror = (clock: Clock): TableMirror => {
  const rows = new Map<string, StoredRow>();
  let changes: KeptChange[] = [];
  let revision: StoreRevision | undefined;
  /** Changes since this revision are all kept. */
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

  const takeWhole = (all: readonly StoredRow[], asOf: Ms, at: StoreRevision) => {
    rows.clear();
    for (const row of all) rows.set(row.key, row);
    changes = [];
    revision = at;
    keptSince = at;
    confirm(asOf);
    endWaits();
  };
  const takeChange = (change: RowChange, at: StoreRevision) => {
    if (change.kind === "put") rows.set(change.row.key, change.row);
    else rows.delete(change.key);
    changes.push({ change, revision: at });
  };
  const dropOldest = () => {
    while (changes.length > MAX_CHANGES) keptSince = changes.shift()!.revision;
  };
  const takeChanges = (news: readonly RowChange[], asOf: Ms, at: StoreRevision) => {
    for (const change of news) takeChange(change, at);
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
    asked: StoreRevision,
  ): Result<Relayed<TableChanges>, MirrorFailure> => {
    if (revision === undefined) return Err({ kind: "not_known" });
    // A box of an earlier release tells no era; it can only mean the one that it was told last.
    const since = asked.era === UNKNOWN_ERA ? { ...asked, era: revision.era } : asked;
    if (isEarlierRevision(since, keptSince)) return Err({ kind: "history_gone" });
    return Ok({
      changes: listSince(since),
      revision: pickLaterRevision(since, revision),
      source: getSource(),
    });
  };

  const isBefore = (state: StoreRevision) =>
    revision !== undefined && isEarlierRevision(revision, state);

  /** Whoever waits is answered when the store has confirmed what is known, too: the age told is then the least. */
  const waitForNews = (duration: Ms) =>
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
        takeWhole(all, asOf, at);
        inner.onWhole(all, asOf, at);
      },
      onChanges: (news, asOf, at) => {
        takeChanges(news, asOf, at);
        inner.onChanges(news, asOf, at);
      },
    }),
    getAge: () => getSource().age,
    readWhole: () =>
      revision === undefined
        ? Err({ kind: "not_known" })
        : Ok({ rows: [...rows.values()], revision, source: getSource() }),
    awaitState: async ({ atLeast, wait }) => {
      if (isBefore(atLeast)) await waitForNews(wait);
    },
    awaitChanges: async ({ since, wait }) => {
      const now = answerChanges(since);
      if (now.err || now.val.changes.length > 0) return now;
      if (wait > 0) await waitForNews(wait);
      return answerChanges(since);
    },
  };
};
