/**
 * Hands what a server sends to the parser of its connection in pieces of a bounded cost, and what each piece holds of the
 * body to the sink at once. The parser handles all that it is given in one go and makes an object for each chunk, so a
 * read of 64 KB in chunks of one byte would cost as much as ten thousand answers, in memory as well as in time.
 */
import type { Socket } from "node:net";
import type { Clock, Ms } from "@stairgauge/common";
import {
  FEW_CHUNKS,
  MAX_PIECE_BYTES,
  SHORT_READ_BYTES,
  type PendingReader,
  type ReadTurns,
} from "@stairgauge/saturation";
import { createByteCollector } from "./byteCollector.js";

/**
 * Reads and chunks of one answer that are handled as soon as they arrive, and how many are allowed anew in a second. A stream
 * has some thirty events a second; a thousand chunks cost one or two milliseconds.
 */
const MAX_PROMPT_PARTS = 1_000;
const PROMPT_PARTS_PER_MS = 1;

/**
 * Bytes of the body that are read although the reader is paused. A server may reset the connection behind a complete answer,
 * and what was not read of it by then is lost.
 */
const MAX_PAUSED_BYTES = 16 * 1024;

/** Bytes of an answer that were read, and the chunks of its body in them. */
export type SmallPieces = Readonly<{ bytes: number; chunks: number }>;

/** Options of a reader. */
export type AnswerReaderOptions = Readonly<{
  socket: Socket;
  /** Handles bytes of the connection; calls `addChunk` for what they hold of the body. */
  parse: (piece: Buffer) => void;
  /** Whether nothing of what follows belongs to the answer. */
  isComplete: () => boolean;
  /** What a piece has held of the body. */
  onBody: (bytes: Buffer) => void;
  /** The answer has come in so many pieces that the rest of it is read in turn with long reads; called once at most. */
  onSmallPieces: (pieces: SmallPieces) => void;
  clock: Pick<Clock, "monotonic">;
  turns: ReadTurns;
}>;

/** Reads one answer. */
export type AnswerReader = Readonly<{
  /** The parser has found a chunk of the body. */
  addChunk: (chunk: Buffer) => void;
  /** Hands nothing to the sink until `resume`. */
  pause: () => void;
  resume: () => void;
  /** Calls the function once all that was parsed has been handed to the sink. */
  onDelivered: (run: () => void) => void;
}>;

/** Joins the chunks of one piece. A single one is not copied. */
const createPieceBody = () => {
  let first: Buffer | undefined;
  let joined: Buffer | undefined;
  let used = 0;
  let chunks = 0;
  return {
    /** `maxBytes`: the most that the chunks can have together. */
    add: (chunk: Buffer, maxBytes: number) => {
      chunks += 1;
      if (!first) {
        first = chunk;
        used = chunk.length;
        return;
      }
      if (!joined || joined.length < used + chunk.length) {
        const larger = Buffer.allocUnsafeSlow(Math.max(maxBytes, used + chunk.length));
        (joined ?? first).copy(larger, 0, 0, used);
        joined = larger;
      }
      used += chunk.copy(joined, used);
    },
    take: () => {
      const bytes = joined?.subarray(0, used) ?? first;
      const taken = { bytes, chunks };
      first = undefined;
      joined = undefined;
      used = 0;
      chunks = 0;
      return taken;
    },
  };
};

/** Counts reads and chunks against those that are handled promptly; reads the clock only once they are used up. */
const createPromptParts = (clock: Pick<Clock, "monotonic">) => {
  let left = MAX_PROMPT_PARTS;
  let countedAt: Ms = clock.monotonic();
  const addEarned = () => {
    const now = clock.monotonic();
    left = Math.min(MAX_PROMPT_PARTS, left + (now - countedAt) * PROMPT_PARTS_PER_MS);
    countedAt = now;
  };
  return {
    spend: (parts: number) => {
      left -= parts;
    },
    hasLeft: () => {
      if (left <= 0) addEarned();
      return left > 0;
    },
  };
};

/** Begins to read from a connection that nothing else reads from. */
export const startAnswerReader = (options: AnswerReaderOptions): AnswerReader => {
  const { socket, parse, isComplete, onBody, onSmallPieces, clock, turns } = options;
  const body = createPieceBody();
  const prompt = createPromptParts(clock);
  let pieceBytes = SHORT_READ_BYTES;
  /** Length of the piece that was parsed last. */
  let parsedBytes = 0;
  let isParsing = false;
  let bytesRead = 0;
  let chunksRead = 0;
  let isReported = false;
  let isPaused = false;
  let isFlushScheduled = false;
  /** What was parsed while the reader is paused. */
  let held = createByteCollector();
  let notifyDelivered: (() => void) | undefined;

  const flush = () => {
    const { bytes, chunks } = body.take();
    if (!bytes) return chunks;
    if (isPaused) held.append(bytes);
    else onBody(bytes);
    return chunks;
  };
  const passHeldOn = () => {
    if (held.getLength() === 0) return;
    const bytes = held.join();
    held = createByteCollector();
    onBody(bytes);
  };
  const reportDelivered = () => {
    if (isPaused || isFlushScheduled) return;
    notifyDelivered?.();
    notifyDelivered = undefined;
  };
  const countChunks = (chunks: number) => {
    prompt.spend(chunks);
    chunksRead += chunks;
  };
  /** Chooses the size of the next piece by what a whole one has cost; one without a chunk may be framing only. */
  const choosePiece = (chunks: number) => {
    const isCheap = chunks > 0 && chunks < FEW_CHUNKS;
    if (!isCheap) pieceBytes = SHORT_READ_BYTES;
    else if (parsedBytes === pieceBytes)
      pieceBytes = Math.min(2 * pieceBytes, MAX_PIECE_BYTES);
  };
  const isPromptUsedUp = () => {
    if (prompt.hasLeft()) return false;
    if (!isReported) onSmallPieces({ bytes: bytesRead, chunks: chunksRead });
    isReported = true;
    return true;
  };
  const canHold = () => !isPaused || held.getLength() < MAX_PAUSED_BYTES;
  const canRead = () => canHold() && !socket.destroyed;
  const hasMore = () => canRead() && socket.readableLength > 0;
  /** Handles the next piece; returns its chunks, undefined if there is nothing to read. */
  const readPiece = () => {
    // Reads on if there is nothing, so that the end of the connection is found.
    const length = Math.min(pieceBytes, socket.readableLength);
    const piece = socket.read(length === 0 ? undefined : length) as Buffer | null;
    if (!piece || isComplete()) return undefined;
    parsedBytes = piece.length;
    bytesRead += parsedBytes;
    prompt.spend(1);
    isParsing = true;
    parse(piece);
    isParsing = false;
    const chunks = flush();
    countChunks(chunks);
    choosePiece(chunks);
    // The end of the connection may have arrived already; nothing else would tell.
    if (socket.readableLength === 0) socket.read(0);
    return chunks;
  };
  /** Reads what had arrived before the connection was reset, as long as it costs little: an answer may be complete with it. */
  const readRest = () => {
    let chunks: number | undefined = 0;
    while (chunks !== undefined && chunks < FEW_CHUNKS && canHold()) chunks = readPiece();
  };
  const reader: PendingReader = {
    // The first piece, which has the head, is handled at once: a head that waited would count as a silent server.
    isLong: () =>
      parsedBytes > 0 && (socket.readableLength > SHORT_READ_BYTES || isPromptUsedUp()),
    readPiece: () => {
      if (!canRead()) return { isSentAhead: false, hasMore: false };
      readPiece();
      return { isSentAhead: false, hasMore: hasMore() };
    },
  };
  const readOn = () => {
    if (canRead()) turns.read(reader);
  };
  socket.on("readable", readOn);
  socket.prependListener("error", readRest);
  return {
    addChunk: (chunk) => {
      body.add(chunk, parsedBytes);
      if (isParsing || isFlushScheduled) return;
      // The parser hands over later what came with the head.
      isFlushScheduled = true;
      process.nextTick(() => {
        isFlushScheduled = false;
        countChunks(flush());
        reportDelivered();
      });
    },
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      passHeldOn();
      reportDelivered();
      readOn();
    },
    onDelivered: (run) => {
      notifyDelivered = run;
      reportDelivered();
    },
  };
};
