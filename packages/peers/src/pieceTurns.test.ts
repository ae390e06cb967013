/** Guards against connections that keep a box busy with messages in small pieces, and against never reading on. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import { createPieceTurns } from "./pieceTurns.js";

const PIECES_A_READ = 6_500;

const setUp = (connections: number) => {
  const clock = createVirtualClock();
  const turns = createPieceTurns(clock);
  const handled = Array.from({ length: connections }, () => 0);
  const read = Array.from({ length: connections }, () => true);
  const pieces = read.map((_, i) =>
    turns.open({
      stop: () => (read[i] = false),
      start: () => (read[i] = true),
    }),
  );
  /** Reads whatever may be read, once each millisecond. */
  const runFor = (ms: number, piecesARead = PIECES_A_READ) => {
    for (let at = 0; at < ms; at += 1) {
      pieces.forEach((one, i) => {
        if (!read[i]) return;
        for (let piece = 0; piece < piecesARead; piece += 1) one.spend();
        handled[i]! += piecesARead;
      });
      clock.advance(1 as Ms);
    }
  };
  return { handled, read, pieces, runFor };
};

const sum = (values: readonly number[]) =>
  values.reduce((total, value) => total + value, 0);

describe("createPieceTurns", () => {
  it("handles a bounded number of pieces a second, of all connections in turn", () => {
    const { handled, runFor } = setUp(20);
    runFor(100);
    const before = sum(handled);
    runFor(10_000);
    // Half of what fits into the time at two microseconds each, and a thousand a second that each may send.
    expect(sum(handled) - before).toBeLessThan(10_000 * (50 + 20) * 1.2);
    expect(Math.min(...handled)).toBeGreaterThan(PIECES_A_READ);
  });

  it("reads on where a connection sends a piece a millisecond", () => {
    const { handled, runFor } = setUp(1);
    runFor(10_000, 1);
    expect(sum(handled)).toBe(10_000);
  });

  it("reads nothing of a connection that has ended", () => {
    const { read, pieces, runFor } = setUp(2);
    runFor(2);
    expect(read).toEqual([false, false]);
    for (const one of pieces) one.close();
    runFor(10_000);
    expect(read).toEqual([false, false]);
  });
});
