/**
 * Guards servers that fall over when they reject too many requests: all boxes together send a brittle
 * service no more than its servers have slots for.
 */
import { describe, expect, it } from "vitest";
import { BUSY_MACHINE_TIMEOUT_MS } from "./box.testkit.js";
import { computeUsedShare, startLoadSite, type ServerSpec } from "./hardLoad.testkit.js";

const DURATION_MS = 12_000;

/** Boxes have received answers of all servers before the burst. */
const LIGHT_PER_SECOND = 20;
const BURST_FROM_MS = 5_000;

/** 150 requests per second together. */
const BRITTLE = [1, 2, 3].map((): ServerSpec => ({
  slots: 3,
  queue: 12,
  serviceMs: 60,
  brittle: { maxRejected: 4, queue: 2, fromMs: 3_000, goneMs: 3_000 },
}));

/** Users' bound for one brittle time. */
const ALLOWED_FALLS = 2 + BRITTLE.length / 10;

/** Slots wait for the next request while messages are in transit: 3 to 10 ms of 60. */
const MIN_USED_SHARE = 0.75;

describe.each([
  [3, 75],
  [7, 160],
  [14, 300],
])("%i boxes with %i requests per second for brittle servers", (boxes, perSecond) => {
  it(
    "don't make them fall over, and keep them in use",
    async () => {
      const { run } = await startLoadSite({
        servers: BRITTLE,
        sources: [
          { workspace: "light", tier: 3, perSecond: LIGHT_PER_SECOND },
          { workspace: "burst", tier: 3, perSecond, fromMs: BURST_FROM_MS },
        ],
        boxes,
      });
      const result = await run(DURATION_MS);
      const used = computeUsedShare(result, BRITTLE, DURATION_MS - BURST_FROM_MS);
      const text = JSON.stringify({ used, falls: result.falls });
      expect(result.falls.length, text).toBeLessThanOrEqual(ALLOWED_FALLS);
      const offered = Math.min(1, perSecond / 150);
      expect(used, text).toBeGreaterThanOrEqual(MIN_USED_SHARE * offered);
    },
    BUSY_MACHINE_TIMEOUT_MS,
  );
});
