import { PassThrough } from "node:stream";
import type { Socket } from "node:net";
import { setImmediate as waitTurn } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { createVirtualClock } from "@stairgauge/common";
import type { PendingReader } from "@stairgauge/saturation";
import {
  startAnswerReader,
  type AnswerReader,
  type SmallPieces,
} from "./answerReader.js";

const READ_BYTES = 256 * 1024;
const SHORT_PIECE = 4 * 1024;
const LONG_PIECE = 64 * 1024;

/** A reader of a connection whose bytes are all body, in chunks of this size; its turns come as `takeTurn` is called. */
const setUp = (chunkBytes: number) => {
  const clock = createVirtualClock();
  const socket = new PassThrough({ highWaterMark: READ_BYTES });
  const pieces: number[] = [];
  const bodies: number[] = [];
  const reported: SmallPieces[] = [];
  const waiting: PendingReader[] = [];
  const reader: AnswerReader = startAnswerReader({
    socket: socket as unknown as Socket,
    parse: (piece) => {
      pieces.push(piece.length);
      for (let at = 0; at < piece.length; at += chunkBytes)
        reader.addChunk(piece.subarray(at, at + chunkBytes));
    },
    isComplete: () => false,
    onBody: (bytes) => bodies.push(bytes.length),
    onSmallPieces: (found) => reported.push(found),
    clock,
    turns: {
      read: (pending) => {
        while (!pending.isLong()) if (!pending.readPiece().hasMore) return;
        if (!waiting.includes(pending)) waiting.push(pending);
      },
    },
  });
  const takeTurn = () => waiting[0]?.readPiece();
  return { socket, pieces, bodies, waiting, takeTurn, reader, reported };
};

describe("the reader of an answer", () => {
  // Guards against a read of 64 KB that costs ten thousand objects and writes in one turn of the event loop.
  it("parses small chunks in short pieces and hands each piece on at once", async () => {
    const { socket, pieces, bodies, takeTurn } = setUp(1);
    socket.write("x".repeat(4 * SHORT_PIECE));
    await waitTurn();
    expect(pieces).toEqual([]);
    for (let turn = 0; turn < 4; turn += 1) takeTurn();
    expect(pieces).toEqual(Array.from({ length: 4 }, () => SHORT_PIECE));
    expect(bodies).toEqual(pieces);
  });

  it("parses large chunks in pieces that grow", async () => {
    const { socket, pieces, takeTurn } = setUp(LONG_PIECE);
    socket.write("x".repeat(READ_BYTES));
    await waitTurn();
    for (let turn = 0; turn < 6; turn += 1) takeTurn();
    expect(pieces).toEqual([1, 2, 4, 8, 16, 16].map((times) => times * SHORT_PIECE));
  });

  it("handles a short read at once, until its chunks are more than a stream has", async () => {
    const { socket, pieces, waiting, reported } = setUp(1);
    for (let read = 0; read < 3; read += 1) {
      socket.write("x".repeat(600));
      await waitTurn();
    }
    expect(pieces).toEqual([600, 600]);
    expect(waiting).toHaveLength(1);
    expect(reported).toEqual([{ bytes: 1_200, chunks: 1_200 }]);
  });

  // Guards against a paused reader that loses what a reset connection had brought, or holds all that a server sends.
  it("reads a bounded part while it is paused, and hands it on afterwards", async () => {
    const { socket, bodies, takeTurn, reader } = setUp(1);
    reader.pause();
    socket.write("x".repeat(8 * SHORT_PIECE));
    await waitTurn();
    for (let turn = 0; turn < 8; turn += 1) takeTurn();
    expect(bodies).toEqual([]);
    expect(socket.readableLength).toBe(4 * SHORT_PIECE);
    reader.resume();
    expect(bodies).toEqual([4 * SHORT_PIECE]);
    let isDelivered = false;
    reader.onDelivered(() => (isDelivered = true));
    expect(isDelivered).toBe(true);
  });
});
