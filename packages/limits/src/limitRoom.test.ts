import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computeQuota, createLimitRooms } from "./limitRoom.js";

const SERVER = "page-0@1" as ServerId;
const LONG_KNOWN = 60_000 as Ms;

describe("computeQuota", () => {
  it("gives what the server takes on the mean, in whole requests", () => {
    for (const perSecond of [0.05, 0.5, 1.7, 1.9, 7.3, 140]) {
      const { whole, span } = computeQuota({ perSecond, knownFor: LONG_KNOWN });
      expect(Number.isInteger(whole)).toBe(true);
      expect((whole / span) * 1_000).toBeCloseTo(perSecond, 9);
      expect(span).toBeGreaterThanOrEqual(5_000);
    }
  });

  it("keeps the users' bound on 4 s of arrivals whose requests were up to a second under way", () => {
    for (let perSecond = 0.05; perSecond < 300; perSecond *= 1.07) {
      const { whole } = computeQuota({ perSecond, knownFor: LONG_KNOWN });
      expect(whole).toBeLessThanOrEqual(perSecond * 4 * 1.5 + 5);
    }
  });

  it("leaves room at first for what was sent in the second before anyone knew, at three times the limit", () => {
    for (let perSecond = 0.05; perSecond < 300; perSecond *= 1.07) {
      const { whole, span } = computeQuota({ perSecond, knownFor: 0 as Ms });
      expect(span).toBeGreaterThan(4_000);
      expect(whole + 3 * perSecond).toBeLessThanOrEqual(perSecond * 4 * 1.5 + 5);
      expect(whole).toBeGreaterThanOrEqual(2);
    }
  });
});

describe("computeQuota at the beginning", () => {
  it("gives nothing from before the users begin to count until their window holds nothing of what came before", () => {
    for (const knownFor of [2_400, 3_000, 4_099]) {
      const quota = computeQuota({ perSecond: 3, knownFor: knownFor as Ms });
      expect(quota.whole).toBe(0);
    }
    expect(computeQuota({ perSecond: 3, knownFor: 2_399 as Ms }).whole).toBe(5);
    expect(computeQuota({ perSecond: 3, knownFor: 4_100 as Ms }).whole).toBe(15);
  });
});

describe("what a box may send to a server with a limit", () => {
  const quota = { whole: 9, span: 5_000 as Ms };
  const setUp = () => {
    const clock = createVirtualClock();
    return { clock, rooms: createLimitRooms(clock) };
  };

  it("is its part in any span, at some distance from each other", () => {
    const { clock, rooms } = setUp();
    const sentAt: number[] = [];
    for (let now = 0; now < 20_000; now += 10) {
      if (rooms.judge(SERVER, quota, 3).freeIn === 0) {
        rooms.record(SERVER, quota);
        sentAt.push(now);
      }
      clock.advance(10 as Ms);
    }
    expect(sentAt).toHaveLength(12);
    sentAt.forEach((at, i) => {
      if (i > 0) expect(at - sentAt[i - 1]!).toBeGreaterThanOrEqual(830);
      if (i > 2) expect(at - sentAt[i - 3]!).toBeGreaterThanOrEqual(5_000);
    });
  });

  it("tells when the next may go", () => {
    const { clock, rooms } = setUp();
    rooms.record(SERVER, quota);
    clock.advance(200 as Ms);
    expect(rooms.judge(SERVER, quota, 1)).toMatchObject({ used: 1, freeIn: 4_800 });
    expect(rooms.judge(SERVER, quota, 2).freeIn).toBe(1_050);
  });

  it("is nothing without a part, and there is no time at which that changes", () => {
    const { rooms } = setUp();
    const { part, freeIn } = rooms.judge(SERVER, quota, 0);
    expect({ part, freeIn }).toEqual({ part: 0, freeIn: undefined });
  });

  it("takes what went beyond its part into account until that is a span ago", () => {
    const { clock, rooms } = setUp();
    for (let i = 0; i < 4; i += 1) {
      rooms.record(SERVER, quota);
      clock.advance(1_000 as Ms);
    }
    // Two of four have to be older than the span before there is room for the second of two.
    expect(rooms.judge(SERVER, quota, 2).freeIn).toBe(3_000);
  });
});
