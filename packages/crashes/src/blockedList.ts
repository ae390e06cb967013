/** Keeps the store's list of blocked requests: puts what this box has found out, and drops what no longer holds. */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { FollowerSink, StoreWriteFailure, StoreWriter } from "@stairgauge/storefeed";
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
  getGuard: () => Pick<RequestGuard, "takeNews" | "release" | "judge">;
  /** Whether it is this box that drops rows whose time has passed: one box does it for all. */
  isKeeper: () => boolean;
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
  start: () => void;
  stop: () => void;
}>;

/** Pause before a write is made again, until the row is seen as it should be. */
const RETRY_PAUSE_MS = 2_000 as Ms;

/** How often rows are looked through for those whose time has passed. */
const REVIEW_MS = 60_000 as Ms;

/** Creates the list. */
export const createBlockedList = (options: BlockedListOptions): BlockedList => {
  const { clock, writer, table, limit, getGuard, isKeeper, onFailure } = options;
  let isStopped = false;
  let review: Timer | undefined;
  const rows = createBlockedRows({
    clock,
    onListed: (ends) => getGuard().takeNews({ ends, served: [] }),
    onDropped: (digest) => getGuard().release(digest),
    onUnreadable: onFailure,
  });
  const isBlocked = (digest: RequestDigest) =>
    getGuard().judge(() => digest).kind === "blocked";

  const put = async (blocked: BlockedRequest): Promise<void> => {
    const { digest, ends } = blocked;
    if (isStopped || rows.has(digest) || !isBlocked(digest)) return;
    const written = await writer.putRow({
      table,
      key: digest,
      value: encodeBlockedRow(ends, clock.now()),
      signal: AbortSignal.timeout(limit),
    });
    if (written.err) onFailure(written.val);
    clock.setTimer(RETRY_PAUSE_MS, () => void put(blocked));
  };
  const drop = async (digest: RequestDigest): Promise<void> => {
    if (isStopped || !rows.has(digest) || isBlocked(digest)) return;
    const signal = AbortSignal.timeout(limit);
    const dropped = await writer.dropRow({ table, key: digest, signal });
    if (dropped.err) onFailure(dropped.val);
    clock.setTimer(RETRY_PAUSE_MS, () => void drop(digest));
  };
  const lookAtRows = () => {
    if (isStopped) return;
    options.onReview();
    if (isKeeper()) for (const digest of rows.list()) void drop(digest);
    startReview();
  };
  const startReview = () => {
    review = clock.setTimer(REVIEW_MS, lookAtRows);
  };

  return {
    sink: rows.sink,
    put: (blocked) => void put(blocked),
    drop: (digest) => void drop(digest),
    start: startReview,
    stop: () => {
      isStopped = true;
      review?.cancel();
    },
  };
};
