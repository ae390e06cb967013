/** Follows one table of the store: reads it whole, then waits for its changes, again after each failure. */
import { waitFor, type Clock, type Ms, type Random } from "@stairgauge/common";
import {
  INITIAL_REVISION,
  isEarlierRevision,
  makeRevision,
  pickLaterRevision,
  type StoreRevision,
} from "./revision.js";
import type { RevisionWatermark } from "./revisionWatermark.js";
import type {
  AnswerSource,
  RowChange,
  StoredRow,
  StoreFailure,
  StoreReader,
  TableSnapshot,
} from "./types.js";

/** When what a follower tells was true at the store: at this time or later, and at which revision. */
export type FollowerSink = Readonly<{
  onWhole: (rows: readonly StoredRow[], asOf: Ms, revision: StoreRevision) => void;
  onChanges: (changes: readonly RowChange[], asOf: Ms, revision: StoreRevision) => void;
  onFailure: (failure: StoreFailure, failuresInARow: number) => void;
  /** The store answers again after failures. */
  onRegained: () => void;
}>;

/** A whole read that was not taken, since it is older than what the store has shown before. */
export type StaleRead = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: StoreRevision;
  newest: StoreRevision;
  inARow: number;
}>;

/** How a table is followed. */
export type FollowerOptions = Readonly<{
  table: string;
  reader: StoreReader;
  clock: Clock;
  random: Random;
  /** How long the store holds a call without a change. */
  wait: Ms;
  /** How long to let changes gather before the next call, once one has come; 0 where each matters at once. */
  gather: Ms;
  /** How much longer than that an answer may take before it counts as lost. */
  patience: Ms;
  /** First pause after a failure; it doubles up to the second. */
  retryPause: Readonly<{ first: Ms; most: Ms }>;
  /** Shared by all followers of the store. */
  revisions: RevisionWatermark;
  sink: FollowerSink;
  onStaleRead: (read: StaleRead) => void;
}>;

/** A follower that can be started, stopped, and told to ask again at once. */
export type TableFollower = Readonly<{
  start: () => void;
  stop: () => void;
  /** Gives up the call under way and reads the table whole. */
  reread: () => void;
}>;

/** Why a call is given up whose table is read whole instead: the store has come back from a copy since it was made. */
export const NEW_ERA = "new_era";

/** Whole reads that may be older than what is known before one is taken as it is. */
const STALE_READS_BORNE = 40;
const BACKOFF_FACTOR = 2;

/** Creates a follower. */
export const createTableFollower = (options: FollowerOptions): TableFollower => {
  const { table, reader, clock, random, wait, gather, patience } = options;
  const { retryPause, revisions, sink } = options;
  let isStopped = false;
  let failures = 0;
  let staleReads = 0;
  let hasRead = false;
  let tableRevision = INITIAL_REVISION;
  let pause: number = retryPause.first;
  let abort = new AbortController();

  const callWithin = async <T>(
    limit: Ms,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    abort = new AbortController();
    const { signal } = abort;
    const timer = clock.setTimer(limit, () => abort.abort());
    try {
      return await call(signal);
    } finally {
      timer.cancel();
    }
  };

  const recordFailure = async (failure: StoreFailure) => {
    failures += 1;
    sink.onFailure(failure, failures);
    const jittered = pause * (0.5 + random.nextFloat());
    pause = Math.min(retryPause.most, pause * BACKOFF_FACTOR);
    await waitFor(clock, jittered as Ms);
  };

  const recordAnswer = () => {
    pause = retryPause.first;
    if (failures > 0) sink.onRegained();
    failures = 0;
  };

  /** No later than the truth, however long the answer was under way: from the asking back by what its source says. */
  const computeAsOf = (sentAt: Ms, source: AnswerSource): Ms =>
    (source.kind === "store" ? sentAt : sentAt - source.age) as Ms;

  /** The store's answers show the newest revision of all tables; another box tells that of the one table. */
  const getNewest = ({ source }: TableSnapshot, newestBefore: StoreRevision) =>
    source.kind === "store" ? newestBefore : tableRevision;

  /** Versions of another era say nothing of what came since. */
  const isOfOtherEra = ({ era }: StoreRevision) => era !== revisions.get().era;

  /** To a follower that knows nothing of its table yet every state is of use. */
  const getLeastUseful = (): StoreRevision =>
    hasRead
      ? pickLaterRevision(tableRevision, makeRevision(revisions.get().era, 0))
      : INITIAL_REVISION;

  /** Whether a whole read is to be made again instead. */
  const isPassedOver = (read: TableSnapshot, newestBefore: StoreRevision): boolean => {
    const newest = getNewest(read, newestBefore);
    const { revision, source } = read;
    if (!isEarlierRevision(revision, newest)) return false;
    if (staleReads >= STALE_READS_BORNE) {
      revisions.replace({ table, by: source.kind, revision });
      return false;
    }
    staleReads += 1;
    options.onStaleRead({ table, by: source.kind, revision, newest, inARow: staleReads });
    return true;
  };

  /** Reads the table whole; undefined after a failure or a stale answer. */
  const readWhole = async (): Promise<StoreRevision | undefined> => {
    const sentAt = clock.monotonic();
    const newestBefore = revisions.get();
    const read = await callWithin(patience, (signal) =>
      reader.readTable({ table, atLeast: getLeastUseful(), signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      if (isOfOtherEra(newestBefore)) return undefined;
      await recordFailure(read.val);
      return undefined;
    }
    const { rows, revision, source } = read.val;
    if (isPassedOver(read.val, newestBefore)) {
      await waitFor(clock, retryPause.first);
      return undefined;
    }
    staleReads = 0;
    revisions.raise({ table, by: source.kind, revision });
    recordAnswer();
    hasRead = true;
    tableRevision = revision;
    sink.onWhole(rows, computeAsOf(sentAt, source), revision);
    return revision;
  };

  /** Waits for changes after `since`; the revision to go on from, or undefined to read whole. */
  const followOnce = async (since: StoreRevision): Promise<StoreRevision | undefined> => {
    const sentAt = clock.monotonic();
    const read = await callWithin((wait + patience) as Ms, (signal) =>
      reader.awaitChanges({ table, since, wait, signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      if (read.val.kind === "history_gone" || isOfOtherEra(since)) return undefined;
      await recordFailure(read.val);
      return undefined;
    }
    const { changes, source, revision: told } = read.val;
    revisions.raise({ table, by: source.kind, revision: told });
    recordAnswer();
    if (told.era !== since.era) return undefined;
    const revision = pickLaterRevision(since, told);
    tableRevision = revision;
    sink.onChanges(changes, computeAsOf(sentAt, source), revision);
    if (changes.length > 0 && gather > 0) await waitFor(clock, gather);
    return revision;
  };

  const run = async () => {
    let since: StoreRevision | undefined;
    while (!isStopped) {
      since =
        since === undefined || isOfOtherEra(since)
          ? await readWhole()
          : await followOnce(since);
    }
  };

  revisions.watchEra(() => {
    if (hasRead && isOfOtherEra(tableRevision)) abort.abort(NEW_ERA);
  });

  return {
    start: () => void run(),
    stop: () => {
      isStopped = true;
      abort.abort();
    },
    reread: () => abort.abort(),
  };
};
