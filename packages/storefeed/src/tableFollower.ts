/** Follows one table of the store: reads it whole, then waits for its changes; retries after each failure. */
import { runWithin, waitFor, type Clock, type Ms, type Random } from "@stairgauge/common";
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

/** Receives the table and its changes. `asOf` is a monotonic time: the state was true at the store then or later. */
export type FollowerSink = Readonly<{
  onWhole: (rows: readonly StoredRow[], asOf: Ms, revision: StoreRevision) => void;
  onChanges: (changes: readonly RowChange[], asOf: Ms, revision: StoreRevision) => void;
  onFailure: (failure: StoreFailure, failuresInARow: number) => void;
  /** A read succeeds again after failures. */
  onRegained: () => void;
}>;

/** A whole read that was rejected because it is older than the newest revision seen before. */
export type StaleRead = Readonly<{
  table: string;
  by: AnswerSource["kind"];
  revision: StoreRevision;
  newest: StoreRevision;
  /** How many reads were rejected in a row, this one included. */
  inARow: number;
}>;

/** A step of a follower that threw, as what applies an answer may. */
export type FailedStep = Readonly<{
  table: string;
  error: unknown;
  /** How many steps have thrown in a row, this one included. */
  inARow: number;
}>;

/** Options of a follower. */
export type FollowerOptions = Readonly<{
  table: string;
  reader: StoreReader;
  clock: Clock;
  random: Random;
  /** How long the store holds a request while there is no change. */
  wait: Ms;
  /** Pause after an answer with changes, so that the next answer carries several; 0 to receive each at once. */
  gather: Ms;
  /** Time limit of a whole read; a request for changes may take this much longer than `wait`. */
  patience: Ms;
  /** Pause after the first failure; it doubles with each further failure, up to `most`. */
  retryPause: Readonly<{ first: Ms; most: Ms }>;
  /** Shared by all followers of the store. */
  revisions: RevisionWatermark;
  sink: FollowerSink;
  onStaleRead: (read: StaleRead) => void;
  onStepFailed: (step: FailedStep) => void;
}>;

/** A follower of one table. */
export type TableFollower = Readonly<{
  start: () => void;
  stop: () => void;
  /** Aborts the current request and reads the whole table. */
  reread: () => void;
  /** Ends the pause after a failure, if there is one: the store has answered for another table. */
  endPause: () => void;
}>;

/** Abort reason of a request that is replaced by a whole read, because the store was restored from a backup meanwhile. */
export const NEW_ERA = "new_era";

/** Stale whole reads that are rejected in a row; the next one is accepted, since the store has really gone back. */
const MAX_STALE_READS = 40;
const BACKOFF_FACTOR = 2;

/** Creates a follower. */
export const createTableFollower = (options: FollowerOptions): TableFollower => {
  const { table, reader, clock, random, wait, gather, patience } = options;
  const { retryPause, revisions, sink } = options;
  let isStopped = false;
  let failures = 0;
  let failedSteps = 0;
  /** Answers in a row to requests for changes after which the whole table had to be read. */
  let lostHistories = 0;
  let staleReads = 0;
  let hasRead = false;
  let tableRevision = INITIAL_REVISION;
  let pause: number = retryPause.first;
  let abort = new AbortController();
  let endPause: () => void = () => undefined;

  const waitPaused = (duration: Ms) =>
    new Promise<void>((resolve) => {
      const timer = clock.setTimer(duration, resolve);
      endPause = () => {
        timer.cancel();
        resolve();
      };
    });

  const callWithin = <T>(
    limit: Ms,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    abort = new AbortController();
    const { signal } = abort;
    return runWithin(clock, limit, (timeLimit) =>
      call(AbortSignal.any([signal, timeLimit])),
    );
  };

  const waitJittered = (duration: number) =>
    waitPaused((duration * (0.5 + random.nextFloat())) as Ms);
  /** Pauses before the next try after this many in a row that have brought nothing. */
  const waitAfter = (inARow: number) =>
    waitJittered(
      Math.min(retryPause.most, retryPause.first * BACKOFF_FACTOR ** (inARow - 1)),
    );

  const recordFailure = async (failure: StoreFailure) => {
    failures += 1;
    sink.onFailure(failure, failures);
    const before = pause;
    pause = Math.min(retryPause.most, pause * BACKOFF_FACTOR);
    await waitJittered(before);
  };

  const recordAnswer = () => {
    pause = retryPause.first;
    if (failures > 0) sink.onRegained();
    failures = 0;
  };

  /** A lower bound, however long the answer took: the time of the request, minus the age given by a box that answered. */
  const computeAsOf = (sentAt: Ms, source: AnswerSource): Ms =>
    (source.kind === "store" ? sentAt : sentAt - source.age) as Ms;

  /** The revision that a read must have reached. The store answers with the revision of all tables, a box with that of one. */
  const getNewest = ({ source }: TableSnapshot, newestBefore: StoreRevision) =>
    source.kind === "store" ? newestBefore : tableRevision;

  /** Versions of different eras cannot be compared. */
  const isOfOtherEra = ({ era }: StoreRevision) => era !== revisions.get().era;

  /** The earliest revision that a read is useful from: any one before the first read. */
  const getMinRevision = (): StoreRevision =>
    hasRead
      ? pickLaterRevision(tableRevision, makeRevision(revisions.get().era, 0))
      : INITIAL_REVISION;

  /** Whether a whole read is too old and has to be repeated; accepts it after MAX_STALE_READS. */
  const isRejected = (read: TableSnapshot, newestBefore: StoreRevision): boolean => {
    const newest = getNewest(read, newestBefore);
    const { revision, source } = read;
    if (!isEarlierRevision(revision, newest)) return false;
    if (staleReads >= MAX_STALE_READS) {
      revisions.replace({ table, by: source.kind, revision });
      return false;
    }
    staleReads += 1;
    options.onStaleRead({ table, by: source.kind, revision, newest, inARow: staleReads });
    return true;
  };

  /** Reads the whole table. Returns its revision, or undefined after a failure or a stale answer. */
  const readWhole = async (): Promise<StoreRevision | undefined> => {
    const sentAt = clock.monotonic();
    const newestBefore = revisions.get();
    const read = await callWithin(patience, (signal) =>
      reader.readTable({ table, atLeast: getMinRevision(), signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      if (isOfOtherEra(newestBefore)) return undefined;
      await recordFailure(read.val);
      return undefined;
    }
    const { rows, revision, source } = read.val;
    if (isRejected(read.val, newestBefore)) {
      await waitFor(clock, retryPause.first);
      return undefined;
    }
    staleReads = 0;
    revisions.raise({ table, by: source.kind, revision });
    recordAnswer();
    sink.onWhole(rows, computeAsOf(sentAt, source), revision);
    hasRead = true;
    tableRevision = revision;
    return revision;
  };

  /** The first time the table is read at once; a store that answers so again and again isn't asked without a pause. */
  const recordLostHistory = async () => {
    lostHistories += 1;
    if (lostHistories > 1) await waitAfter(lostHistories - 1);
  };

  /** Waits for changes after `since`. Returns the revision to continue from, or undefined if the whole table must be read. */
  const followOnce = async (since: StoreRevision): Promise<StoreRevision | undefined> => {
    const sentAt = clock.monotonic();
    const read = await callWithin((wait + patience) as Ms, (signal) =>
      reader.awaitChanges({ table, since, wait, signal }),
    );
    if (isStopped) return undefined;
    if (read.err) {
      if (isOfOtherEra(since)) return undefined;
      if (read.val.kind === "history_gone") await recordLostHistory();
      else await recordFailure(read.val);
      return undefined;
    }
    lostHistories = 0;
    const { changes, source, revision: answered } = read.val;
    revisions.raise({ table, by: source.kind, revision: answered });
    recordAnswer();
    if (answered.era !== since.era) return undefined;
    const revision = pickLaterRevision(since, answered);
    sink.onChanges(changes, computeAsOf(sentAt, source), revision);
    tableRevision = revision;
    if (changes.length > 0 && gather > 0) await waitFor(clock, gather);
    return revision;
  };

  const step = (since: StoreRevision | undefined) =>
    since === undefined || isOfOtherEra(since) ? readWhole() : followOnce(since);
  const recordFailedStep = async (error: unknown) => {
    failedSteps += 1;
    options.onStepFailed({ table, error, inARow: failedSteps });
    await waitAfter(failedSteps);
  };
  const run = async () => {
    let since: StoreRevision | undefined;
    while (!isStopped) {
      try {
        since = await step(since);
        failedSteps = 0;
      } catch (error) {
        // The answer may have been applied in part, so the whole table is read.
        since = undefined;
        await recordFailedStep(error);
      }
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
    endPause: () => endPause(),
  };
};
