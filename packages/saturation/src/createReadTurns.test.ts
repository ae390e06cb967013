/** Guards against clients that keep all others waiting by what they send: much, in costly pieces, or many requests ahead. */
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import {
  LONG_READ_PAUSE_MS,
  LONG_READ_SHARE,
  LONG_READ_TURN_MS,
  MAX_LONG_READ_MS,
} from "./constants.js";
import { createReadTurns, type PendingReader } from "./createReadTurns.js";

const PLAYED_MS = 1_000;

/** Simulates an event loop in which each piece, and the work that a request causes behind it, takes its time. */
const createSimulatedTurns = () => {
  const clock = createVirtualClock();
  let runAtTurnEnd: (() => void) | undefined;
  const turns = createReadTurns({
    clock,
    scheduleTurnEnd: (run) => {
      runAtTurnEnd = run;
    },
  });
  /** Creates a connection that has sent this many pieces of one kind. */
  const createReader = (
    pieces: number,
    kind: Readonly<{ isLong: boolean; pieceMs: number; requestMs?: number }>,
  ) => {
    let handled = 0;
    const reader: PendingReader = {
      isLong: () => kind.isLong,
      readPiece: () => {
        handled += 1;
        clock.advance(kind.pieceMs as Ms);
        return { isSentAhead: kind.requestMs !== undefined, hasMore: handled < pieces };
      },
    };
    return { reader, countHandled: () => handled, requestMs: kind.requestMs ?? 0 };
  };
  /** Runs turns of the event loop for a while; resolves with the time in which nothing was done. */
  const runFor = (duration: number, requestMs = 0) => {
    const endsAt = clock.monotonic() + duration;
    let idle = 0;
    while (clock.monotonic() < endsAt) {
      const run = runAtTurnEnd;
      runAtTurnEnd = undefined;
      if (run) {
        clock.advance(requestMs as Ms);
        run();
        continue;
      }
      const before = clock.monotonic();
      const next = Math.min(clock.getNextAt() ?? endsAt, endsAt);
      idle += next - before;
      clock.advance((next - before) as Ms);
    }
    return idle;
  };
  return { clock, turns, createReader, runFor };
};

describe("createReadTurns", () => {
  it("handles what is short at once, however many long reads wait", () => {
    const { turns, clock, createReader, runFor } = createSimulatedTurns();
    for (let i = 0; i < 400; i += 1)
      turns.read(createReader(1_000, { isLong: true, pieceMs: 1 }).reader);
    runFor(100);
    const short = createReader(3, { isLong: false, pieceMs: 0.1 });
    const before = clock.monotonic();
    turns.read(short.reader);
    expect(short.countHandled()).toBe(3);
    expect(clock.monotonic() - before).toBeCloseTo(0.3);
  });

  it("leaves the event loop idle for a part of the time while long reads wait, and gives each the same part", () => {
    const { turns, createReader, runFor } = createSimulatedTurns();
    const long = Array.from({ length: 20 }, () =>
      createReader(100_000, { isLong: true, pieceMs: 0.5 }),
    );
    for (const { reader } of long) turns.read(reader);
    // The first one had no others beside it at first.
    const before = long.map(({ countHandled }) => countHandled());
    const idle = runFor(PLAYED_MS);
    expect(idle / PLAYED_MS).toBeGreaterThanOrEqual(LONG_READ_SHARE - 0.05);
    const counts = long.map(({ countHandled }, i) => countHandled() - before[i]!);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
    expect(Math.min(...counts)).toBeGreaterThan(0);
  });

  it("counts the work that requests sent ahead cause in their turn", () => {
    const { turns, createReader, runFor } = createSimulatedTurns();
    const long = Array.from({ length: 20 }, () =>
      createReader(100_000, { isLong: true, pieceMs: 0.05, requestMs: 1 }),
    );
    for (const { reader } of long) turns.read(reader);
    const idle = runFor(PLAYED_MS, 1);
    expect(idle / PLAYED_MS).toBeGreaterThanOrEqual(LONG_READ_SHARE - 0.05);
  });

  it("handles a long read that nothing else waits behind without a pause", () => {
    const { turns, clock, createReader } = createSimulatedTurns();
    const one = createReader(16, { isLong: true, pieceMs: 0.1 });
    turns.read(one.reader);
    expect(one.countHandled()).toBe(16);
    expect(clock.monotonic()).toBeLessThan(MAX_LONG_READ_MS + LONG_READ_PAUSE_MS);
  });

  it("goes on soon behind a piece in which the process was suspended", () => {
    const { turns, createReader, runFor } = createSimulatedTurns();
    const first = createReader(1, { isLong: true, pieceMs: 2_500 });
    const second = createReader(2, { isLong: true, pieceMs: 0.1 });
    turns.read(first.reader);
    turns.read(second.reader);
    runFor(100);
    expect(second.countHandled()).toBe(2);
  });

  // Guards against a connection that waits long for its turns because the pieces of others cost much.
  it("gives each connection the same time, whatever its pieces cost", () => {
    const { turns, createReader, runFor } = createSimulatedTurns();
    const costly = Array.from({ length: 9 }, () =>
      createReader(Infinity, { isLong: true, pieceMs: 1 }),
    );
    const cheap = createReader(Infinity, { isLong: true, pieceMs: 0.01 });
    for (const { reader } of [...costly, cheap]) turns.read(reader);
    runFor(PLAYED_MS);
    const turnsOfEach = Math.min(...costly.map(({ countHandled }) => countHandled()));
    expect(turnsOfEach).toBeGreaterThan(0);
    expect(cheap.countHandled() * 0.01).toBeGreaterThanOrEqual(
      turnsOfEach * LONG_READ_TURN_MS,
    );
  });

  // Guards against timers that become more each time a reader has another one read on within its turn.
  it("waits for one timer, however often connections are added within a turn", () => {
    const clock = createVirtualClock();
    let timers = 0;
    const turns = createReadTurns({
      clock: {
        ...clock,
        setTimer: (delay, fire) => {
          timers += 1;
          return clock.setTimer(delay, () => {
            timers -= 1;
            fire();
          });
        },
      },
      scheduleTurnEnd: () => undefined,
    });
    let pieces = 0;
    const readPiece = () => {
      clock.advance(1 as Ms);
      return { isSentAhead: false, hasMore: true };
    };
    const adding: PendingReader = {
      isLong: () => true,
      readPiece: () => {
        pieces += 1;
        if (pieces <= 20) turns.read({ isLong: () => true, readPiece });
        return readPiece();
      },
    };
    turns.read(adding);
    while (pieces <= 20) clock.step();
    expect(timers).toBe(1);
  });

  // Guards against long reads that all wait for good once one of them has thrown.
  it("goes on with others behind a reader that throws", () => {
    const { clock, turns, createReader, runFor } = createSimulatedTurns();
    const sound = createReader(100, { isLong: true, pieceMs: 1 });
    const failing: PendingReader = {
      isLong: () => true,
      readPiece: () => {
        clock.advance(1 as Ms);
        turns.read(sound.reader);
        throw new Error("no parser");
      },
    };
    expect(() => turns.read(failing)).toThrow("no parser");
    runFor(PLAYED_MS);
    expect(sound.countHandled()).toBe(100);
  });
});
