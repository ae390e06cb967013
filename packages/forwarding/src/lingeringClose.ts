/**
 * Closes connections behind their last answer. The kernel resets a connection that is closed while bytes of its client are
 * unread, and a client that still sends then loses the answer. So only the box's side is closed first, and what the client
 * sends until it closes its own is read and dropped.
 */
import type { Socket } from "node:net";
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { PendingReader, ReadTurns } from "@stairgauge/saturation";

/** A client that has sent nothing for this long has no bytes on their way that a close could meet unread. */
const QUIET_MS = 2_000 as Ms;

/** How often that time may pass while a client sends: as long as the body of a refused request may take. */
const MAX_PERIODS = 5;

/** Several times the longest body that is accepted by default. To read and drop it costs some 20 ms. */
const MAX_DROPPED_BYTES = 64 * 1024 * 1024;

/** Time between two reads, of all connections together: without it a few that send on fill the memory before the next collection. */
const READ_PAUSE_MS = 4 as Ms;

/** Options of the closes. */
export type LingeringClosesOptions = Readonly<{
  clock: Pick<Clock, "setTimer">;
  /** Bound the time that reading takes. */
  turns: ReadTurns;
}>;

/** The connections of one listener that are being closed. */
export type LingeringCloses = Readonly<{
  /**
   * Ends a connection; nothing else may read from it any more. `onLimit` is called if it is closed although its client still
   * sends.
   */
  close: (socket: Socket, onLimit: () => void) => void;
  /** Number of connections that are being closed. */
  count: () => number;
}>;

/** Creates the closes; no connection is being closed. */
export const createLingeringCloses = ({
  clock,
  turns,
}: LingeringClosesOptions): LingeringCloses => {
  /** Those that have something to read, in the order of their reads. */
  const waiting = new Set<PendingReader>();
  let nextRead: Timer | undefined;
  const closing = new Set<Socket>();

  const readNext = () => {
    nextRead = undefined;
    const [reader] = waiting;
    if (!reader) return;
    waiting.delete(reader);
    turns.read(reader);
    scheduleRead();
  };
  const scheduleRead = () => {
    if (waiting.size > 0) nextRead ??= clock.setTimer(READ_PAUSE_MS, readNext);
  };

  /** Closes the connection once its client is quiet, or has sent for too long. */
  const limitTime = (
    socket: Socket,
    countDropped: () => number,
    closeAtLimit: () => void,
  ) => {
    let droppedBefore = 0;
    let periods = 0;
    const checkQuiet = () => {
      periods += 1;
      if (countDropped() === droppedBefore) socket.destroy();
      else if (periods === MAX_PERIODS) closeAtLimit();
      else {
        droppedBefore = countDropped();
        timer = clock.setTimer(QUIET_MS, checkQuiet);
      }
    };
    let timer = clock.setTimer(QUIET_MS, checkQuiet);
    socket.once("close", () => timer.cancel());
  };

  const close = (socket: Socket, onLimit: () => void) => {
    let dropped = 0;
    const closeAtLimit = () => {
      if (!socket.destroyed) onLimit();
      socket.destroy();
    };
    const reader: PendingReader = {
      isLong: () => true,
      readPiece: () => {
        const bytes = socket.read() as Buffer | null;
        dropped += bytes?.length ?? 0;
        if (dropped > MAX_DROPPED_BYTES) closeAtLimit();
        return { isSentAhead: false, hasMore: false };
      },
    };
    const readOn = () => {
      waiting.add(reader);
      scheduleRead();
    };
    limitTime(socket, () => dropped, closeAtLimit);
    closing.add(socket);
    socket.once("close", () => {
      closing.delete(socket);
      waiting.delete(reader);
    });
    socket.on("readable", readOn);
    socket.end();
    readOn();
  };
  return { close, count: () => closing.size };
};
