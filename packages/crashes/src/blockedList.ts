/** Keeps the store's list of blocked requests: puts what this box has found out, and drops what no longer holds. */
import type { Clock, Ms, Result, Timer } from "@stairgauge/common";
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

/** What the list needs. */
export type BlockedListOptions = Readonly<{
  clock: Clock;
  writer: StoreWriter;
  table: string;
  /** How long a write may take. */
  limit: Ms;
  getGuard: () => Pick<RequestGuard, "applyUpdate" | "release" | "getStatus">;
  /** The box's place among those that write for all; the first one drops rows whose time has passed. */
  getRank: () => number | undefined;
  onFailure: (failure: StoreWriteFailure | BlockedRowFailure) => void;
  /** Blocks may have run out meanwhile. */
  onReview: () => void;
}>;

/** One box's part in the list. */
export type BlockedList = Readonly<{
  /** For the follower of the table. */
  sink: FollowerSink;
  /** Lists a request whose block this box has found out. */
  put: (blocked: BlockedRequest) => void;
  /** Takes a request off that a server has served. */
  drop: (digest: RequestDigest) => void;
  /** Writes again what the copy lacks that the store has come back from. */
  recover: (report: RestoreReport) => void;
  start: () => void;
  stop: () => void;
}>;

/** A write that is made again and again until the row is seen as it should be. */
type PendingWrite = Readonly<{
  isDue: () => boolean;
  write: (signal: AbortSignal) => Promise<Result<void, StoreWriteFailure>>;
}>;

/** Pause before a write is made again, until the row is seen as it should be. */
const RETRY_PAUSE_MS = 2_000 as Ms;

/** Boxes that write again what was lost, one after the other until it is there. */
const RECOVERING_BOXES = 3;

/** Lost rows are written again within this time; what is not is taken from the store as it is. */
const RECOVERED_WITHIN_MS = 30_000 as Ms;

/** What counts of the table when the store comes back from a copy. */
export const BLOCKED_RESTORE_RULES: RestoreRules = {
  isUndone: () => false,
  resolveMissing: () => ({ kind: "keep_for", duration: RECOVERED_WITHIN_MS }),
  resolveDropped: () => ({ kind: "take_after", duration: RECOVERED_WITHIN_MS }),
};

/** How often rows are looked through for those whose time has passed. */
const REVIEW_MS = 60_000 as Ms;

/** Creates the list. */
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
    const written = await write(AbortSignal.timeout(limit));
    if (written.err) onFailure(written.val);
    clock.setTimer(RETRY_PAUSE_MS, () => void writeWhile({ isDue, write }));
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
  const lookAtRows = () => {
    if (isStopped) return;
    options.onReview();
    if (getRank() === 0) rows.list().forEach(drop);
    startReview();
  };
  const startReview = () => {
    review = clock.setTimer(REVIEW_MS, lookAtRows);
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
