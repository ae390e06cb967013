/** Guards against clients that wait unheard in the kernel, or unread at a box, while the event loop's turns are long. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { UnreadReason } from "./backlog.js";
import { MAX_ACCEPTING_TURNS, MAX_COUNTED_TURN_MS } from "./constants.js";
import { createArrivals } from "./createArrivals.js";

const LIMIT = 250 as Ms;

type LoopOptions = Readonly<{ isBusy?: boolean; limit?: Ms | undefined }>;

/**
 * Turns in ms, as a box beside busy processes took them: the events of streams that began together arrive together, and
 * the machine gives the box half of a processor.
 */
const ORDINARY_TURNS_MS = [4, 6, 2, 8, 6, 2, 2, 6, 2, 7, 5, 5, 12, 2, 6, 7, 6, 2, 11, 14];
const LONG_TURNS_MS = [69, 241, 356, 101, 34, 13, 7, 54];

/**
 * Simulates an event loop that accepts one connection a turn and takes its time to read from one: always the same, or by
 * how many it has read from before.
 */
const createSimulatedLoop = (
  readingTime: Ms | ((readBefore: number) => number),
  { isBusy = true, ...options }: LoopOptions = {},
) => {
  const limit = "limit" in options ? options.limit : LIMIT;
  const clock = createVirtualClock();
  const inKernel: { arrivedAt: number }[] = [];
  const ends: { end: "read" | UnreadReason; waited: number }[] = [];
  let runAtTurnEnd: (() => void) | undefined;
  let readBefore = 0;

  const recordEnd = (end: "read" | UnreadReason, { arrivedAt }: { arrivedAt: number }) =>
    ends.push({ end, waited: clock.monotonic() - arrivedAt });
  const arrivals = createArrivals<{ arrivedAt: number }>({
    clock,
    scheduleTurnEnd: (run) => {
      runAtTurnEnd = run;
    },
    isBusy: () => isBusy,
    getUnreadLimit: () => limit,
    startReading: (connection) => {
      recordEnd("read", connection);
      const time =
        typeof readingTime === "number" ? readingTime : readingTime(readBefore);
      readBefore += 1;
      clock.advance(time as Ms);
    },
    closeUnread: (connection, reason) => recordEnd(reason, connection),
  });
  const runTurn = () => {
    clock.advance(1 as Ms);
    const accepted = inKernel.shift();
    if (accepted) arrivals.add(accepted);
    const run = runAtTurnEnd;
    runAtTurnEnd = undefined;
    run?.();
  };
  return {
    clock,
    arrivals,
    ends,
    runTurn,
    connectClients: (count: number) => {
      const arrivedAt = clock.monotonic();
      for (let i = 0; i < count; i += 1) inKernel.push({ arrivedAt });
    },
  };
};

const countBy = (ends: readonly { end: string }[]) => {
  const counts: Record<string, number> = {};
  for (const { end } of ends) counts[end] = (counts[end] ?? 0) + 1;
  return counts;
};

describe("createArrivals", () => {
  it("leaves no client without an end for long, however many come at once and however long their requests take (property)", () => {
    const inputs = fc.record({
      clients: fc.integer({ min: 1, max: 200 }),
      readingTime: fc.integer({ min: 0, max: 50 }),
    });
    fc.assert(
      fc.property(inputs, ({ clients, readingTime }) => {
        const loop = createSimulatedLoop(readingTime as Ms);
        loop.connectClients(clients);
        for (let turn = 0; turn < 2 * clients + 2; turn += 1) loop.runTurn();
        expect(loop.ends).toHaveLength(clients);
        const readWhileAccepting = Math.ceil(clients / MAX_ACCEPTING_TURNS);
        const acceptedWithin = clients + readWhileAccepting * readingTime;
        for (const { waited } of loop.ends)
          expect(waited).toBeLessThanOrEqual(
            acceptedWithin + LIMIT + MAX_COUNTED_TURN_MS,
          );
      }),
      { numRuns: 200, seed: 1 },
    );
  });

  it("reads from all in their order if there is time", () => {
    const loop = createSimulatedLoop(1 as Ms);
    loop.connectClients(20);
    for (let turn = 0; turn < 50; turn += 1) loop.runTurn();
    expect(loop.ends.map(({ end }) => end)).toEqual(Array(20).fill("read"));
  });

  it("closes nobody unread while the event loop has idle time", () => {
    const loop = createSimulatedLoop(50 as Ms, { isBusy: false });
    loop.connectClients(40);
    for (let turn = 0; turn < 100; turn += 1) loop.runTurn();
    expect(loop.ends.map(({ end }) => end)).toEqual(Array(40).fill("read"));
  });

  // Guards against closing what could be served: 500 connections at once at a box with processor time to spare.
  it("closes nobody whom it reads within the limit, however many come at once (property)", () => {
    const inputs = fc.record({
      clients: fc.integer({ min: 1, max: 500 }),
      readingTime: fc.integer({ min: 1, max: 20 }),
    });
    fc.assert(
      fc.property(inputs, ({ clients, readingTime }) => {
        // Accepting takes a turn of 1 ms for each, reading one turn more.
        const needed = clients * (readingTime + 2);
        const loop = createSimulatedLoop(readingTime as Ms, { limit: needed as Ms });
        loop.connectClients(clients);
        for (let turn = 0; turn < 2 * clients + 2; turn += 1) loop.runTurn();
        expect(loop.ends.map(({ end }) => end)).toEqual(Array(clients).fill("read"));
      }),
      { numRuns: 100, seed: 1 },
    );
  });

  // Guards against a second of long turns that is taken for what each of 1,600 readings will cost.
  it("closes nobody out of 2,000 for a few long turns if it reads all in time", () => {
    const ordinary = Array.from({ length: 8 }, () => ORDINARY_TURNS_MS).flat();
    const turns = [...ordinary, ...LONG_TURNS_MS];
    const loop = createSimulatedLoop((i) => turns[i % turns.length]!, {
      limit: 27_700 as Ms,
    });
    loop.connectClients(2_000);
    for (let turn = 0; turn < 4_002; turn += 1) loop.runTurn();
    expect(countBy(loop.ends)).toEqual({ read: 2_000 });
    expect(Math.max(...loop.ends.map(({ waited }) => waited))).toBeLessThan(27_700);
  });

  it("closes those of a large burst that it won't reach soon after its turns have become long for good", () => {
    const fast = 400;
    const loop = createSimulatedLoop((i) => (i < fast ? 5 : 40), {
      limit: 27_700 as Ms,
    });
    loop.connectClients(2_000);
    for (let turn = 0; turn < 4_002; turn += 1) loop.runTurn();
    expect(loop.ends).toHaveLength(2_000);
    const closed = loop.ends.filter(({ end }) => end !== "read");
    expect(countBy(closed)).toEqual({ out_of_reach: closed.length });
    expect(closed.length).toBeGreaterThan(2_000 - fast - 27_700 / 40);
    // Most callers have two thirds of their time left for another box, and all of them some.
    const closedWaits = closed.map(({ waited }) => waited).toSorted((a, b) => a - b);
    expect(closedWaits[closedWaits.length >> 1]).toBeLessThan(27_700 / 3);
    expect(closedWaits.at(-1)).toBeLessThan(27_700 * 0.75);
  });

  it("closes nobody while nobody knows how long callers wait", () => {
    const loop = createSimulatedLoop(20 as Ms, { limit: undefined });
    loop.connectClients(500);
    for (let turn = 0; turn < 1_002; turn += 1) loop.runTurn();
    expect(loop.ends.map(({ end }) => end)).toEqual(Array(500).fill("read"));
  });

  it("closes those that it won't reach in time before they have waited for long, and the first ones never", () => {
    const loop = createSimulatedLoop(20 as Ms);
    loop.connectClients(60);
    for (let turn = 0; turn < 200; turn += 1) loop.runTurn();
    loop.ends.length = 0;
    loop.connectClients(60);
    for (let turn = 0; turn < 200; turn += 1) loop.runTurn();
    const closed = loop.ends.filter(({ end }) => end !== "read");
    expect(new Set(closed.map(({ end }) => end))).toEqual(new Set(["out_of_reach"]));
    expect(loop.ends.at(-1)!.end).toBe("read");
    const closedWaits = closed.map(({ waited }) => waited).toSorted((a, b) => a - b);
    expect(closedWaits[closedWaits.length >> 1]).toBeLessThan(LIMIT);
    // What is read is read in time, and as many as the limit has time for.
    const read = loop.ends.length - closed.length;
    expect(read).toBeGreaterThanOrEqual(LIMIT / (20 + 1) - 1);
  });

  it("closes nobody unread since the process was suspended", () => {
    const loop = createSimulatedLoop(1 as Ms);
    loop.connectClients(2);
    loop.runTurn();
    loop.clock.advance(60_000 as Ms);
    for (let turn = 0; turn < 10; turn += 1) loop.runTurn();
    expect(loop.ends.map(({ end }) => end)).toEqual(["read", "read"]);
  });

  it("accepts further connections before it reads, also while they are closed at once", () => {
    const loop = createSimulatedLoop(1 as Ms);
    loop.connectClients(1);
    for (let turn = 0; turn < MAX_ACCEPTING_TURNS; turn += 1) {
      loop.arrivals.recordClosed();
      loop.runTurn();
    }
    expect(loop.ends).toEqual([]);
    loop.arrivals.recordClosed();
    loop.runTurn();
    expect(loop.ends).toHaveLength(1);
  });
});
