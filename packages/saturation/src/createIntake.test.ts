/** Guards against a box that takes on more than it can answer, or turns clients away although it could serve them. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { Backlog } from "./backlog.js";
import { createIntake } from "./createIntake.js";
import type { SaturationEvent } from "./types.js";

const WINDOW = 250 as Ms;

/** Time of a turn of the event loop that is never idle. */
const TURN_MS = 10;

/** Simulates a box whose event loop is busy with `shareOfEach` of its time for each open request, for as long as it is open. */
const createSimulatedBox = (shareOfEach: number) => {
  const clock = createVirtualClock();
  const events: SaturationEvent[] = [];
  let open = 0;
  let backlog: Backlog = { count: 0, age: 0, limit: undefined };
  const intake = createIntake({
    clock,
    countOpen: () => open,
    readBacklog: () => backlog,
    onEvent: (event) => events.push(event),
  });
  const applyBusyShare = (busyShare: number) => {
    clock.advance(WINDOW);
    const turnTime = (busyShare * TURN_MS) as Ms;
    intake.applyWindow({ lasted: WINDOW, busyShare, turnTime, processorShare: 0.1 });
  };
  /** A window in which a part of the open requests ends and as many arrive as the clients want open. */
  const runWindow = (wanted: number, endedShare: number) => {
    open = Math.floor(open * (1 - endedShare));
    for (let arrived = open; arrived < wanted; arrived += 1) {
      if (intake.hasRoom()) open += 1;
      else intake.recordTurnedAway("no_room", 0 as Ms);
    }
    applyBusyShare(Math.min(1, open * shareOfEach));
    return open;
  };
  const setBacklog = (next: Backlog) => {
    backlog = next;
  };
  return { intake, events, applyBusyShare, runWindow, setBacklog };
};

describe("createIntake", () => {
  it("takes on what the event loop can do, and not much less (property)", () => {
    const inputs = fc.record({
      /** Requests that keep the event loop busy all the time. */
      capacity: fc.integer({ min: 12, max: 400 }),
      wantedFactor: fc.double({ min: 1.5, max: 8, noNaN: true }),
      endedShare: fc.double({ min: 0.1, max: 1, noNaN: true }),
    });
    fc.assert(
      fc.property(inputs, ({ capacity, wantedFactor, endedShare }) => {
        const { runWindow } = createSimulatedBox(1 / capacity);
        const wanted = Math.ceil(capacity * wantedFactor);
        const counts = Array.from({ length: 200 }, () => runWindow(wanted, endedShare));
        const settled = counts.slice(60);
        const mean = settled.reduce((sum, count) => sum + count, 0) / settled.length;
        expect(mean / capacity).toBeLessThan(1);
        expect(mean / capacity).toBeGreaterThan(0.6);
      }),
      { numRuns: 200, seed: 1 },
    );
  });

  it("turns nobody away while the event loop has idle time in each half second", () => {
    const { intake, events, applyBusyShare } = createSimulatedBox(0);
    for (const share of [1, 0.9, 1, 0.9, 1, 0.2, 0.94, 0.94, 0.94]) {
      applyBusyShare(share);
      expect(intake.hasRoom()).toBe(true);
    }
    expect(events).toEqual([]);
  });

  it("serves some requests even if its event loop never gets idle", () => {
    const { intake, applyBusyShare } = createSimulatedBox(0);
    for (let i = 0; i < 100; i += 1) applyBusyShare(1);
    expect(intake.isShort()).toBe(true);
    expect(intake.hasRoom()).toBe(true);
  });

  it("has no limit within two seconds after the crowd has moved on, and counts whom it turned away", () => {
    const { intake, events, runWindow } = createSimulatedBox(1 / 40);
    for (let i = 0; i < 40; i += 1) runWindow(100, 0.5);
    expect(intake.isShort()).toBe(true);
    for (let i = 0; i < 8; i += 1) runWindow(4, 0.5);
    expect(intake.isShort()).toBe(false);
    const last = events.at(-1);
    expect(last?.kind === "processor_enough" && last.turnedAway).toBeGreaterThan(100);
  });

  it("turns nobody away during a burst that becomes shorter, and does once it does not", () => {
    const { intake, applyBusyShare, setBacklog } = createSimulatedBox(0);
    for (let count = 400; count > 0; count -= 40) {
      setBacklog({ count, age: 3_000, limit: 10_000 as Ms });
      applyBusyShare(1);
      expect(intake.isShort()).toBe(false);
    }
    setBacklog({ count: 400, age: 5_000, limit: 10_000 as Ms });
    applyBusyShare(1);
    applyBusyShare(1);
    expect(intake.isShort()).toBe(true);
  });

  it("tells at most once a second how many connections were closed unread, why, and how long they waited", () => {
    const { intake, events, applyBusyShare } = createSimulatedBox(0);
    const listReports = () =>
      events.filter(({ kind }) => kind === "connections_closed_unread");
    for (let window = 0; window < 9; window += 1) {
      intake.recordTurnedAway("out_of_reach", (10 * window) as Ms);
      intake.recordTurnedAway("waited_too_long", 300 as Ms);
      applyBusyShare(0.5);
    }
    const counts = { no_room: 0, longestWait: 300 };
    expect(listReports()).toMatchObject([
      { out_of_reach: 1, waited_too_long: 1, ...counts },
      { out_of_reach: 4, waited_too_long: 4, ...counts },
      { out_of_reach: 4, waited_too_long: 4, ...counts },
    ]);
    for (let window = 0; window < 8; window += 1) applyBusyShare(0.5);
    expect(listReports()).toHaveLength(3);
  });
});
