/**
 * Hands what a client has sent to the parser of its connection: one request after the other, in pieces of a bounded
 * size. The parser handles all that it is given in one go, and would begin every request that a read holds.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Clock, Ms, Timer } from "@stairgauge/common";
import {
  SHORT_READ_BYTES,
  type PendingReader,
  type ReadTurns,
} from "@stairgauge/saturation";
import type { LingeringCloses } from "./lingeringClose.js";
import type { HeldBytes, ReclaimableMemory } from "./reclaimableMemory.js";

/** Largest piece. In chunks of one byte it costs about a millisecond. */
const MAX_PIECE_BYTES = 4 * 1024;

/** Bytes that may wait before the socket is read seldom. */
const MAX_WAITING_BYTES = 16 * 1024;

/** How often it is read then: only reading shows that the client has left. */
const SELDOM_READ_MS = 500 as Ms;

/**
 * Time in which a client has to read the rest of an answer that was handed to its connection as a whole. No client waits
 * longer than a minute for an answer.
 */
const MAX_UNREAD_ANSWER_MS = 60_000 as Ms;

/** The ends of a head that the parser accepts: the blank line with and without a carriage return. */
const HEAD_ENDS = ["\n\r\n", "\n\n"] as const;

const NOTHING = Buffer.alloc(0);

type Exchange = Readonly<{ incoming: IncomingMessage; response: ServerResponse }>;

/** Why a connection was ended although its client has sent nothing invalid. */
export type ClientLimit =
  /** There were too many connections, and this one had been idle for longest. */
  | "idle"
  /** Too much waited to be handled, and some of this one's had waited for longest. */
  | "sent_ahead"
  /** Too much of answers waited to be read, and this one's had waited for longest. */
  | "answer_unread"
  /** Its client did not read an answer in time. */
  | "answer_too_late"
  /** Its client sent on for too long, or too much, behind its last answer. */
  | "sent_behind";

/** Options of a reader. */
export type ConnectionReaderOptions = Readonly<{
  socket: Socket;
  /** Handles bytes of the connection. */
  parse: (piece: Buffer) => void;
  clock: Pick<Clock, "setTimer">;
  turns: ReadTurns;
  /** Closes the connection behind its last answer. */
  closes: LingeringCloses;
  /** Counts the bytes that wait to be handled, and those of answers that wait to be read. */
  memory: ReclaimableMemory;
  /** The connection reached a limit: it is closed, at once or behind the answer that is open. */
  onLimit: (limit: ClientLimit) => void;
}>;

/** Reads from one connection. */
export type ConnectionReader = Readonly<{
  /**
   * A request began: the next one isn't read before its answer was sent. The returned function counts what of the answer waits
   * to be read; to be called when the buffer of the connection is full.
   */
  onRequest: (incoming: IncomingMessage, response: ServerResponse) => () => void;
  /** Whether no request is open. */
  isIdle: () => boolean;
  /** Closes the connection behind what was written to it, so that its client can read that. */
  close: () => void;
  /** Whether the connection serves no more requests. */
  isClosing: () => boolean;
}>;

/** Finds the end of the next piece: behind the first end of a head, so that no piece holds two of them. */
const findPieceEnd = (bytes: Buffer): number => {
  const piece = bytes.subarray(0, MAX_PIECE_BYTES);
  const ends = HEAD_ENDS.map((end) => piece.indexOf(end) + end.length).filter(
    (end, i) => end >= HEAD_ENDS[i]!.length,
  );
  return Math.min(piece.length, ...ends);
};

/** Starts to read. */
export const createConnectionReader = ({
  socket,
  parse,
  clock,
  turns,
  closes,
  memory,
  onLimit,
}: ConnectionReaderOptions): ConnectionReader => {
  let waiting: Buffer = NOTHING;
  /** Bytes of the current request that were handled. */
  let handled = 0;
  /** Whether the client has sent bytes behind a request before that was answered. */
  let isAhead = false;
  /** Whether nothing more is read: the connection ends with the answers that are open. */
  let isOver = false;
  /** The next reading while too much waits. */
  let seldomReading: Timer | undefined;
  const exchanges: Exchange[] = [];
  let isClosing = false;

  const stopReading = () => {
    onLimit("sent_ahead");
    isOver = true;
    waiting = NOTHING;
    const last = exchanges.at(-1);
    if (last?.incoming.complete) last.response.shouldKeepAlive = false;
    else socket.destroy();
  };
  const held = memory.open(stopReading);
  const setWaiting = (bytes: Buffer) => {
    waiting = bytes;
    held.set(bytes.length);
  };

  /** Whether the parser may be given more: the head of a request, or the rest of its body. */
  const mayParse = () => {
    if (isOver || socket.destroyed || socket.writableEnded) return false;
    const [first, second] = exchanges;
    if (!first) return true;
    return !second && !first.incoming.complete && !first.response.writableEnded;
  };
  const readSocket = () => {
    const bytes = socket.read() as Buffer | null;
    if (!bytes || isOver) return;
    setWaiting(waiting.length > 0 ? Buffer.concat([waiting, bytes]) : bytes);
  };
  const takeArrived = () => {
    if (isClosing) return;
    if (!isOver && waiting.length < MAX_WAITING_BYTES) {
      readSocket();
      return;
    }
    seldomReading ??= clock.setTimer(SELDOM_READ_MS, () => {
      seldomReading = undefined;
      readSocket();
      readOn();
    });
  };
  const hasPiece = () => waiting.length > 0 && mayParse();
  /** Frees the read that brought the bytes that wait, if most of it was handled. */
  const dropHandled = () => {
    if (2 * waiting.length < waiting.buffer.byteLength) waiting = Buffer.from(waiting);
  };
  const takePiece = () => {
    const end = findPieceEnd(waiting);
    const piece = waiting.subarray(0, end);
    setWaiting(waiting.subarray(end));
    handled += end;
    return piece;
  };
  const reader: PendingReader = {
    isLong: () => isAhead || handled >= SHORT_READ_BYTES,
    readPiece: () => {
      if (!hasPiece()) return { isSentAhead: false, hasMore: false };
      const wasAhead = isAhead;
      parse(takePiece());
      if (waiting.length === 0) takeArrived();
      const isWhole = exchanges.at(-1)?.incoming.complete === true;
      if (isWhole) {
        handled = 0;
        isAhead = waiting.length > 0;
      }
      const hasMore = hasPiece();
      if (!hasMore) dropHandled();
      return { isSentAhead: wasAhead && isWhole, hasMore };
    },
  };
  const readOn = () => {
    takeArrived();
    if (hasPiece()) turns.read(reader);
  };

  const closeUnread = (limit: ClientLimit) => {
    onLimit(limit);
    socket.destroy();
  };
  /** Ends the connection if its client doesn't read the answer before others need the memory. */
  const createUnreadCount = (response: ServerResponse) => {
    let unread: HeldBytes | undefined;
    const open = () => {
      const opened = memory.open(() => closeUnread("answer_unread"));
      // The client has read all: what is written now has not waited.
      response.on("drain", () => opened.set(0));
      response.once("close", () => opened.set(0));
      return opened;
    };
    return () => {
      if (socket.destroyed || response.closed) return;
      unread ??= open();
      unread.set(socket.writableLength);
    };
  };
  /** Ends the connection if its client doesn't read the answer in time. */
  const limitUnreadTime = (response: ServerResponse) => {
    const timer = clock.setTimer(MAX_UNREAD_ANSWER_MS, () =>
      closeUnread("answer_too_late"),
    );
    response.once("close", timer.cancel);
  };

  const close = () => {
    if (isClosing || socket.destroyed) return;
    isClosing = true;
    isOver = true;
    seldomReading?.cancel();
    setWaiting(NOTHING);
    // The listener above stays: without one the socket would drop what comes, uncounted and as fast as it can.
    closes.close(socket, () => onLimit("sent_behind"));
  };
  // The server ends each connection by this one, once the answer that says so was written.
  socket.destroySoon = close;

  socket.on("readable", readOn);
  socket.once("close", () => {
    isOver = true;
    seldomReading?.cancel();
    setWaiting(NOTHING);
  });
  return {
    onRequest: (incoming, response) => {
      const exchange = { incoming, response };
      exchanges.push(exchange);
      const countUnread = createUnreadCount(response);
      response.once("prefinish", () => {
        if (socket.writableLength === 0) return;
        limitUnreadTime(response);
        countUnread();
      });
      response.once("close", () => {
        exchanges.splice(exchanges.indexOf(exchange), 1);
        if (isOver && exchanges.length === 0) close();
        else readOn();
      });
      // What was written in this turn is only now handed to the kernel, which may take all of it.
      return () => process.nextTick(countUnread);
    },
    isIdle: () => exchanges.length === 0,
    close,
    isClosing: () => isClosing,
  };
};
