import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computeQuota, createSendBudgets } from "./sendBudgets.js";

const SERVER = "page-0@1" as ServerId;
const LONG_KNOWN = 60_000 as Ms;

describe("computeQuota", () => {
  it("allows the server's limit on average, in whole requests", () => {
    for (const perSecond of [0.05, 0.5, 1.7, 1.9, 7.3, 140]) {
      const { whole, span } = computeQuota({ perSecond, knownFor: LONG_KNOWN });
      expect(Number.isInteger(whole)).toBe(true);
      expect((whole / span) * 1_000).toBeCloseTo(perSecond, 9);
      expect(span).toBeGreaterThanOrEqual(5_000);
    }
  });

  it("keeps within the users' bound on arrivals in 4 s if requests take up to a second to arrive", () => {
    for (let perSecond = 0.05; perSecond < 300; perSecond *= 1.07) {
      const { whole } = computeQuota({ perSecond, knownFor: LONG_KNOWN });
      expect(whole).toBeLessThanOrEqual(perSecond * 4 * 1.5 + 5);
    }
  });

  it("allows less at first, for the requests sent at three times the limit in the second before any box had it", () => {
    for (let perSecond = 0.05; perSecond < 300; perSecond *= 1.07) {
      const { whole, span } = computeQuota({ perSecond, knownFor: 0 as Ms });
      expect(span).toBeGreaterThan(4_000);
      expect(whole + 3 * perSecond).toBeLessThanOrEqual(perSecond * 4 * 1.5 + 5);
      expect(whole).toBeGreaterThanOrEqual(2);
    }
  });
});

describe("computeQuota after a limit is first named", () => {
  it("allows nothing from shortly before users begin to count until their window holds no earlier requests", () => {
    for (const knownFor of [2_400, 3_000, 4_099]) {
      const quota = computeQuota({ perSecond: 3, knownFor: knownFor as Ms });
      expect(quota.whole).toBe(0);
    }
    expect(computeQuota({ perSecond: 3, knownFor: 2_399 as Ms }).whole).toBe(5);
    expect(computeQuota({ perSecond: 3, knownFor: 4_100 as Ms }).whole).toBe(15);
  });
});

describe("createSendBudgets", () => {
  const quota = { whole: 9, span: 5_000 as Ms };
  const setUp = () => {
    const clock = createVirtualClock();
    return { clock, rooms: createSendBudgets(clock) };
  };

  it("allows the box's part in any span, with a minimum distance between requests", () => {
    const { clock, rooms: budgets } = setUp();
    const sentAt: number[] = [];
    for (let now = 0; now < 20_000; now += 10) {
      if (budgets.compute(SERVER, quota, 3).freeIn === 0) {
        budgets.record(SERVER, quota);
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

  it("returns the time until the next request may be sent", () => {
    const { clock, rooms: budgets } = setUp();
    budgets.record(SERVER, quota);
    clock.advance(200 as Ms);
    expect(budgets.compute(SERVER, quota, 1)).toMatchObject({ used: 1, freeIn: 4_800 });
    expect(budgets.compute(SERVER, quota, 2).freeIn).toBe(1_050);
  });

  it("returns no time for the next request if the box has no part of the quota", () => {
    const { rooms: budgets } = setUp();
    const { part, freeIn } = budgets.compute(SERVER, quota, 0);
    expect({ part, freeIn }).toEqual({ part: 0, freeIn: undefined });
  });

  it("counts requests sent beyond the part until they are a span old", () => {
    const { clock, rooms: budgets } = setUp();
    for (let i = 0; i < 4; i += 1) {
      budgets.record(SERVER, quota);
      clock.advance(1_000 as Ms);
    }
    // Three of the four requests must be older than the span before a second one of two may be
    // sent.
    expect(budgets.compute(SERVER, quota, 2).freeIn).toBe(3_000);
  });
});
