/** Follows one table of the store: reads it whole, then waits for its changes, again after each failure. */
import { waitFor, type Clock, type Ms, type Random } from "@stairgauge/common";
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
  onWhole: (rows: readonly StoredRow[], asOf: Ms, revision: number) => void;
  onChanges: (changes: readonly RowChange[], asOf: Ms, revision: number) => void;
  onFailure: (failure: StoreFailure, failuresInARow: number) => void;
  /** The store answers again after failures. */
  onRegained: () => void;
}>;

/** A whole read that was not taken, since it is older than what the store has shown before. */
export type StaleRead = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: number;
  newest: number;
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
  /** The newest revision that any answer of the store has shown to this process. */
  revisions: RevisionMark;
  sink: FollowerSink;
  onStaleRead: (read: StaleRead) => void;
}>;

/** The newest revision seen; shared by all followers, since one counter numbers all tables. */
export type RevisionMark = Readonly<{
  get: () => number;
  raise: (revision: number) => void;
}>;

/** Creates a mark that has seen nothing. */
export const createRevisionMark = (): RevisionMark => {
  let newest = 0;
  return {
    get: () => newest,
    raise: (revision) => {
      newest = Math.max(newest, revision);
    },
  };
};

/** A follower that can be started, stopped, and told to ask again at once. */
export type TableFollower = Readonly<{
  start: () => void;
  stop: () => void;
  /** Gives up the call under way and reads the table whole. */
  reread: () => void;
}>;

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
  let tableRevision = 0;
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

  const recordAnswer = (revision: number) => {
    revisions.raise(revision);
    pause = retryPause.first;
    if (failures > 0) sink.onRegained();
    failures = 0;
  };

  /** No later than the truth, however long the answer was under way: from the asking back by what its source says. */
  const computeAsOf = (sentAt: Ms, source: AnswerSource): Ms =>
    (source.kind === "store" ? sentAt : sentAt - source.age) as Ms;

  /** The store's answers show the newest revision of all tables; another box tells that of the one table. */
  const getNewest = ({ source }: TableSnapshot, newestBefore: number) =>
    source.kind === "store" ? newestBefore : tableRevision;

  /** Whether a whole read is to be made again instead. */
  const isPassedOver = (read: TableSnapshot, newestBefore: number): boolean => {
    const newest = getNewest(read, newestBefore);
    if (read.revision >= newest || staleReads >= STALE_READS_BORNE) return false;
    staleReads += 1;
    const { revision, source } = read;
    options.onStaleRead({ table, by: source.kind, revision, newest, inARow: staleReads });
    return true;
  };

  /** Reads the table whole; undefined after a failure or a stale answer. */
  const readWhole = async (): Promise<number | undefined> => {
    const sentAt = clock.monotonic();
    const newestBefore = revisions.get();
    const read = await callWithin(patience, (signal) =>
      reader.readTable({ table, atLeast: tableRevision, signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      await recordFailure(read.val);
      return undefined;
    }
    const { rows, revision, source } = read.val;
    if (isPassedOver(read.val, newestBefore)) {
      await waitFor(clock, retryPause.first);
      return undefined;
    }
    staleReads = 0;
    recordAnswer(revision);
    tableRevision = revision;
    sink.onWhole(rows, computeAsOf(sentAt, source), revision);
    return revision;
  };

  /** Waits for changes after `since`; the revision to go on from, or undefined to read whole. */
  const followOnce = async (since: number): Promise<number | undefined> => {
    const sentAt = clock.monotonic();
    const read = await callWithin((wait + patience) as Ms, (signal) =>
      reader.awaitChanges({ table, since, wait, signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      if (read.val.kind === "history_gone") return undefined;
      await recordFailure(read.val);
      return undefined;
    }
    const { changes, source } = read.val;
    recordAnswer(read.val.revision);
    const revision = Math.max(since, read.val.revision);
    tableRevision = revision;
    sink.onChanges(changes, computeAsOf(sentAt, source), revision);
    if (changes.length > 0 && gather > 0) await waitFor(clock, gather);
    return revision;
  };

  const run = async () => {
    let since: number | undefined;
    while (!isStopped) {
      since = since === undefined ? await readWhole() : await followOnce(since);
    }
  };

  return {
    start: () => void run(),
    stop: () => {
      isStopped = true;
      abort.abort();
    },
    reread: () => abort.abort(),
  };
};
