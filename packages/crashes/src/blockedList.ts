/** Keeps the store's list of blocked requests: adds those that this box blocked, and removes outdated ones. */
import {
  runWithin,
  type Clock,
  type Ms,
  type Result,
  type Timer,
} from "@stairgauge/common";
import type {
  FollowerSink,
  RestoreReport,
  RestoreRules,
  StoreWriteFailure,
  StoreWriter,
} from "@stairgauge/storefeed";
import {
  createBlockedRows,
  encodeBlockedRow,
  type BlockedRowFailure,
} from "./blockedRows.js";
import type { BlockedRequest, RequestGuard } from "./requestGuard.js";
import type { RequestDigest } from "./types.js";

/** Dependencies and settings of the list. */
export type BlockedListOptions = Readonly<{
  clock: Clock;
  writer: StoreWriter;
  table: string;
  /** Timeout of one write. */
  limit: Ms;
  getGuard: () => Pick<RequestGuard, "applyUpdate" | "release" | "getStatus">;
  /**
   * Rank of this box among the boxes that write to the store; undefined when it is not one of them. The box of rank 0 removes
   * expired rows.
   */
  getRank: () => number | undefined;
  onFailure: (failure: StoreWriteFailure | BlockedRowFailure) => void;
  /** Called at each periodic check of the rows: blocks may have expired since the last one. */
  onReview: () => void;
}>;

/** Reads and writes the list for one box. */
export type BlockedList = Readonly<{
  /** Receives the rows and changes from the table's follower. */
  sink: FollowerSink;
  /** Writes a row for a request that this box has blocked. */
  put: (blocked: BlockedRequest) => void;
  /** Removes the row of a request that is no longer blocked. */
  drop: (digest: RequestDigest) => void;
  /** After the store was restored from a copy: writes the rows that the copy lacks, and drops again those that had been dropped. */
  recover: (report: RestoreReport) => void;
  start: () => void;
  stop: () => void;
}>;

/** A write that is repeated until it is no longer due. */
type PendingWrite = Readonly<{
  isDue: () => boolean;
  write: (signal: AbortSignal) => Promise<Result<void, StoreWriteFailure>>;
}>;

/** Pause before a write is repeated. Also a successful write is repeated until the follower shows its effect. */
const RETRY_PAUSE_MS = 2_000 as Ms;

/** Number of boxes that repair the table after a restore. They start one after the other and stop once it is repaired. */
const RECOVERING_BOXES = 3;

/** Time in which the table is repaired after a restore. After it, the store's rows are used as they are. */
const RECOVERED_WITHIN_MS = 30_000 as Ms;

/** How rows count that differ from the store after it was restored from a copy. */
export const BLOCKED_RESTORE_RULES: RestoreRules = {
  isUndone: () => false,
  resolveMissing: () => ({ kind: "keep_for", duration: RECOVERED_WITHIN_MS }),
  resolveDropped: () => ({ kind: "take_after", duration: RECOVERED_WITHIN_MS }),
};

/** Interval of the check for expired rows. */
const REVIEW_MS = 60_000 as Ms;

/** Creates the list. Its periodic check runs after `start`. */
export const createBlockedList = (options: BlockedListOptions): BlockedList => {
  const { clock, writer, table, limit, getGuard, getRank, onFailure } = options;
  let isStopped = false;
  let review: Timer | undefined;
  const rows = createBlockedRows({
    clock,
    onListed: (ends) => getGuard().applyUpdate({ ends, served: [] }),
    onDropped: (digest) => getGuard().release(digest),
    onUnreadable: onFailure,
  });
  const isBlocked = (digest: RequestDigest) =>
    getGuard().getStatus(() => digest).kind === "blocked";

  const writeWhile = async ({ isDue, write }: PendingWrite): Promise<void> => {
    if (isStopped || !isDue()) return;
    try {
      const written = await runWithin(clock, limit, write);
      if (written.err) onFailure(written.val);
    } finally {
      clock.setTimer(RETRY_PAUSE_MS, () => void writeWhile({ isDue, write }));
    }
  };
  const put = ({ digest, ends }: BlockedRequest) =>
    void writeWhile({
      isDue: () => !rows.has(digest) && isBlocked(digest),
      write: (signal) => {
        const value = encodeBlockedRow(ends, clock.now());
        return writer.putRow({ table, key: digest, value, signal });
      },
    });
  const drop = (digest: RequestDigest) =>
    void writeWhile({
      isDue: () => rows.has(digest) && !isBlocked(digest),
      write: (signal) => writer.dropRow({ table, key: digest, signal }),
    });
  const recover = ({ missing, withheld, isUnsettled }: RestoreReport) => {
    const rank = getRank() ?? 0;
    if (rank >= RECOVERING_BOXES) return;
    const writes: readonly PendingWrite[] = [
      ...missing.map(({ key, value }) => ({
        isDue: () => isUnsettled(key),
        write: (signal: AbortSignal) => writer.putRow({ table, key, value, signal }),
      })),
      ...withheld.map(({ key }) => ({
        isDue: () => isUnsettled(key),
        write: (signal: AbortSignal) => writer.dropRow({ table, key, signal }),
      })),
    ];
    for (const pending of writes)
      clock.setTimer((rank * RETRY_PAUSE_MS) as Ms, () => void writeWhile(pending));
  };
  const checkRows = () => {
    if (isStopped) return;
    startReview();
    options.onReview();
    if (getRank() === 0) rows.list().forEach(drop);
  };
  const startReview = () => {
    review = clock.setTimer(REVIEW_MS, checkRows);
  };

  return {
    sink: rows.sink,
    put,
    drop,
    recover,
    start: startReview,
    stop: () => {
      isStopped = true;
      review?.cancel();
    },
  };
};
