/**
 * Divides the event loop's time among connections of clients and servers. What has been received is handled at once if
 * it is short. The rest of what is long is handled piece by piece, in turn with that of other connections and in a part of
 * the time only: so peers that send much, or in pieces that cost much, keep nobody else waiting.
 */
import type { Clock, Ms } from "@stairgauge/common";
import {
  LONG_READ_PAUSE_MS,
  LONG_READ_SHARE,
  MAX_LONG_READ_DEBT_MS,
  LONG_READ_TURN_MS,
  MAX_LONG_READ_MS,
} from "./constants.js";

/** What was handled. */
export type ReadPiece = Readonly<{
  /** Whether a request that was sent ahead is whole now: it causes more work in this turn of the event loop. */
  isSentAhead: boolean;
  /** Whether another piece may be handled behind it now. */
  hasMore: boolean;
}>;

/** A connection from which bytes were received that are not handled yet. */
export type PendingReader = Readonly<{
  /** Whether more was received than is handled at once. */
  isLong: () => boolean;
  /** Handles the next piece. */
  readPiece: () => ReadPiece;
}>;

/** How long reads and the time without them follow each other. */
export type ReadPace = Readonly<{
  pause: Ms;
  /** Time for long reads per time of pauses. */
  perPause: number;
}>;

const CLIENTS_PACE: ReadPace = { pause: LONG_READ_PAUSE_MS, perPause: LONG_READ_SHARE };

/** Options of the turns. */
export type ReadTurnsOptions = Readonly<{
  clock: Pick<Clock, "monotonic" | "setTimer">;
  /** Runs the function once in this turn of the event loop, after the work that reading has caused in it. */
  scheduleTurnEnd: (run: () => void) => void;
  /** How long reads and the time without them follow each other; as for clients if undefined. */
  pace?: ReadPace | undefined;
}>;

/** The turns of one event loop. */
export type ReadTurns = Readonly<{
  /** Handles what a connection has sent: at once while it is short, the rest in turn. */
  read: (reader: PendingReader) => void;
}>;

/** Creates the turns; no connection waits for one. */
export const createReadTurns = ({
  clock,
  scheduleTurnEnd,
  pace = CLIENTS_PACE,
}: ReadTurnsOptions): ReadTurns => {
  /** In the order of their turns. */
  const waiting = new Set<PendingReader>();
  /** Time that may be spent on long reads now. */
  let allowance = MAX_LONG_READ_MS;
  let countedAt = clock.monotonic();
  let isScheduled = false;

  const countElapsed = () => {
    const now = clock.monotonic();
    const earned = (now - countedAt) * pace.perPause;
    allowance = Math.min(MAX_LONG_READ_MS, allowance + earned);
    countedAt = now;
  };
  const countSpent = () => {
    const now = clock.monotonic();
    allowance = Math.max(-MAX_LONG_READ_DEBT_MS, allowance - (now - countedAt));
    countedAt = now;
  };
  const finishTurn = () => {
    isScheduled = false;
    countSpent();
    readInTurn();
  };
  const finishPause = () => {
    isScheduled = false;
    countElapsed();
    readInTurn();
  };
  /** Handles pieces for an equal time, so that a connection whose pieces cost little isn't as slow as one whose pieces cost much. */
  const takeTurn = (reader: PendingReader): ReadPiece => {
    const from = clock.monotonic();
    let piece = reader.readPiece();
    while (
      piece.hasMore &&
      !piece.isSentAhead &&
      clock.monotonic() - from < LONG_READ_TURN_MS
    )
      piece = reader.readPiece();
    if (!piece.isSentAhead) countSpent();
    return piece;
  };
  const schedulePause = () => {
    isScheduled = waiting.size > 0;
    if (isScheduled) clock.setTimer(pace.pause, finishPause);
  };
  const readInTurn = () => {
    // What is read may have another reader read on, which joins this turn.
    isScheduled = true;
    let isTurnOver = true;
    try {
      for (const reader of waiting) {
        if (allowance <= 0) break;
        waiting.delete(reader);
        const { isSentAhead, hasMore } = takeTurn(reader);
        // The iteration also comes to what is added during it, so this connection is next behind all others.
        if (hasMore) waiting.add(reader);
        if (isSentAhead) {
          isTurnOver = false;
          scheduleTurnEnd(finishTurn);
          return;
        }
      }
    } finally {
      // Also if a reader has thrown: the others go on.
      if (isTurnOver) schedulePause();
    }
  };

  return {
    read: (reader) => {
      if (waiting.has(reader)) return;
      let hasMore = true;
      while (hasMore && !reader.isLong()) hasMore = reader.readPiece().hasMore;
      if (!hasMore) return;
      waiting.add(reader);
      if (isScheduled) return;
      countElapsed();
      readInTurn();
    },
  };
};
