/**
 * Joins the pieces of a message before the gRPC library has them, and hands whole messages on in small groups. The library
 * keeps an object of some hundred bytes for each piece of an incomplete message, and handles all messages of a piece in
 * one go.
 */
import type { ServerInterceptingCallInterface } from "@grpc/grpc-js";
import { createPieceBuffer } from "./pieceBuffer.js";

/** A message of gRPC over HTTP/2 begins with a byte of flags and four bytes of its length. */
const HEAD_BYTES = 5;
const LENGTH_AT = 1;

/** Messages that are handed on at once; the library holds that many for a call whose handler does not read. */
const MAX_GROUP = 16;

/** What a group costs beside its bytes while it waits to be read. */
const GROUP_COST_BYTES = 256;

/** A piece without a message's end is small below this; those of sound boxes are parts of frames of 16 KB. */
const SMALL_PIECE_BYTES = 512;

/** Observes the pieces of one call. */
export type PieceObserver = Readonly<{
  /** The memory that waits to be handled has changed, by this many bytes. */
  changeUnhandled: (bytes: number) => void;
  onSmallPiece: () => void;
}>;

/** The stream of one call, as far as it is needed here. */
export type PieceStream = {
  /** Called by the HTTP/2 library with what was received; null at the end. False asks it to read no more. */
  push: (piece: Buffer | null) => boolean;
  on: (event: "data", handle: (piece: Buffer) => void) => unknown;
  readonly readableFlowing: boolean | null;
  readonly readableLength: number;
  readonly readableHighWaterMark: number;
};

const copyBytes = (bytes: Buffer): Buffer => {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
};

/** Follows the messages of one call; `read` returns where those end that a piece completes. */
const createBoundaries = () => {
  const head = Buffer.alloc(HEAD_BYTES);
  let headBytes = 0;
  let bodyBytes = 0;
  return {
    read: (piece: Buffer): readonly number[] => {
      const ends: number[] = [];
      for (let at = 0; at < piece.length;) {
        if (headBytes < HEAD_BYTES) {
          const copied = piece.copy(head, headBytes, at);
          headBytes += copied;
          at += copied;
          if (headBytes < HEAD_BYTES) break;
          bodyBytes = head.readUInt32BE(LENGTH_AT);
        }
        const taken = Math.min(bodyBytes, piece.length - at);
        bodyBytes -= taken;
        at += taken;
        if (bodyBytes > 0) break;
        headBytes = 0;
        ends.push(at);
      }
      return ends;
    },
  };
};

/** Joins what arrives on a stream. */
export const joinPieces = (
  stream: PieceStream,
  { changeUnhandled, onSmallPiece }: PieceObserver,
): void => {
  const passOn = stream.push.bind(stream);
  const boundaries = createBoundaries();
  const partial = createPieceBuffer();

  /** Cost of the groups that wait to be read. */
  let waiting = 0;

  const changeWaiting = (change: number) => {
    waiting += change;
    changeUnhandled(change);
  };
  const computeCost = (piece: Buffer) => piece.length + GROUP_COST_BYTES;
  /** A group that waits must not keep all that was read with it. */
  const copyWaiting = (group: Buffer) =>
    stream.readableFlowing && stream.readableLength === 0 ? group : copyBytes(group);
  const passGroup = (group: Buffer) => {
    if (partial.isEmpty()) {
      changeWaiting(computeCost(group));
      passOn(copyWaiting(group));
      return;
    }
    const before = partial.getCost();
    partial.append(group);
    const whole = partial.take();
    changeUnhandled(-before);
    changeWaiting(computeCost(whole));
    passOn(whole);
  };
  const appendRest = (rest: Buffer) => {
    const before = partial.getCost();
    partial.append(rest);
    changeUnhandled(partial.getCost() - before);
  };

  stream.push = (piece) => {
    if (!piece) return passOn(piece);
    const ends = boundaries.read(piece);
    if (ends.length === 0 && piece.length < SMALL_PIECE_BYTES) onSmallPiece();
    let passed = 0;
    for (let i = MAX_GROUP - 1; passed < (ends.at(-1) ?? 0); i += MAX_GROUP) {
      const end = ends[Math.min(i, ends.length - 1)]!;
      passGroup(piece.subarray(passed, end));
      passed = end;
    }
    if (passed < piece.length) appendRest(piece.subarray(passed));
    return stream.readableLength < stream.readableHighWaterMark;
  };
  stream.on("data", (piece) =>
    changeWaiting(stream.readableLength === 0 ? -waiting : -computeCost(piece)),
  );
};

/** The library gives no other way to the stream of a call. */
export const findStream = (
  call: ServerInterceptingCallInterface,
): PieceStream | undefined => (call as { stream?: PieceStream }).stream;
