/**
 * Scenario: an overloaded server names how many requests per second it accepts from all boxes
 * together, while several times as many arrive. Each box receives the limit with its own next
 * answer or from other boxes, and nothing assigns the parts centrally. The parts must add up even
 * if boxes freeze, are cut off, are removed, or have different lists of boxes, and the server's
 * capacity must be used.
 */
import { describe, expect, it } from "vitest";
import fc from "fast-check";
import { computeMaxRequests, countMaxInWindow } from "@stairgauge/standins";
import {
  LIMIT_NAMED_AT_MS,
  runLimitedFleet,
  type FleetArrival,
  type FleetScenario,
} from "./limitedFleet.testkit.js";

const SIZES = [1, 6, 14, 64, 195, 473] as const;

/**
 * Share of its load that an overloaded server was observed to accept: 1.7 of 6 requests per second.
 */
const TAKEN_SHARE = 0.28;

/** Time from which a newly named limit is used in full. */
const SETTLED_MS = LIMIT_NAMED_AT_MS + 9_000;

const makeScenario = (changes: Partial<FleetScenario>): FleetScenario => ({
  boxes: 6,
  perSecond: 1.7,
  requestsPerSecond: 1.7 / TAKEN_SHARE,
  durationMs: 20_000,
  seed: 1,
  ...changes,
});

/** Returns the requests per second between two points in time. */
const computeRate = (arrivals: readonly FleetArrival[], from: number, to: number) =>
  arrivals.filter(({ at }) => at >= from && at < to).length / ((to - from) / 1_000);

describe("createServerLimits, for the requests of all boxes to a server that names a limit", () => {
  it.each(SIZES)(
    "stays within the users' bound with %d boxes, some of which freeze, are cut off or are removed (property)",
    (boxes) => {
      fc.assert(
        fc.property(
          fc.record({
            seed: fc.integer({ min: 1, max: 1e6 }),
            perSecond: fc.double({ min: 0.3, max: 12, noNaN: true }),
            frozenShare: fc.constantFrom(0, 0.2),
            cutOffShare: fc.constantFrom(0, 0.05),
            removedShare: fc.constantFrom(0, 0.1),
          }),
          ({ perSecond, ...faults }) => {
            const requestsPerSecond = perSecond / TAKEN_SHARE;
            const scenario = makeScenario({
              boxes,
              perSecond,
              requestsPerSecond,
              ...faults,
            });
            const worstCount = countMaxInWindow(runLimitedFleet(scenario));
            expect(worstCount).toBeLessThanOrEqual(computeMaxRequests(perSecond));
          },
        ),
        { seed: 41, numRuns: boxes > 100 ? 20 : 60 },
      );
    },
  );

  it.each(SIZES)(
    "stays within the users' bound if the server had up to three times its usual load before it named the limit (property, %d boxes)",
    (boxes) => {
      fc.assert(
        fc.property(
          fc.integer({ min: 1, max: 1e6 }),
          fc.double({ min: 0.5, max: 8, noNaN: true }),
          fc.double({ min: 1, max: 3, noNaN: true }),
          (seed, perSecond, overload) => {
            const requestsPerSecond = (overload * perSecond) / TAKEN_SHARE;
            const scenario = makeScenario({ boxes, perSecond, requestsPerSecond, seed });
            const worstCount = countMaxInWindow(runLimitedFleet(scenario));
            expect(worstCount).toBeLessThanOrEqual(computeMaxRequests(perSecond));
          },
        ),
        { seed: 42, numRuns: boxes > 100 ? 15 : 60 },
      );
    },
  );

  /**
   * Guards against this failure: 30 boxes together sent 25 requests per second to a server with a
   * limit of 0.5 until all had received it, which made seven requests in the first 0.3 s. The two
   * requests that boxes allow themselves at first came 3 s later, while the window still held the
   * seven: 9 requests where 8 are allowed.
   */
  it.each([14, 30, 64, 195, 473])(
    "stays within the users' bound if fifty times the limit arrives once it is named (property, %d boxes)",
    (boxes) => {
      fc.assert(
        fc.property(
          fc.integer({ min: 1, max: 1e6 }),
          fc.constantFrom(0.5, 0.8, 1.2),
          (seed, perSecond) => {
            const requestsPerSecond = perSecond / TAKEN_SHARE;
            const requestsPerSecondOnceNamed = 50 * perSecond;
            const scenario = makeScenario({
              boxes,
              perSecond,
              requestsPerSecond,
              requestsPerSecondOnceNamed,
              seed,
            });
            const worstCount = countMaxInWindow(runLimitedFleet(scenario));
            expect(worstCount).toBeLessThanOrEqual(computeMaxRequests(perSecond));
          },
        ),
        { seed: 43, numRuns: 60 },
      );
    },
  );

  it.each(SIZES)(
    "stays within the users' bound if ten times as many requests arrive once the limit is named (%d boxes)",
    (boxes) => {
      const scenario = makeScenario({
        boxes,
        perSecond: 1.9,
        requestsPerSecondOnceNamed: 60,
        durationMs: 30_000,
      });
      const worstCount = countMaxInWindow(runLimitedFleet(scenario));
      expect(worstCount).toBeLessThanOrEqual(computeMaxRequests(1.9));
    },
  );

  it.each([
    { boxes: 1, least: 0.95 },
    { boxes: 6, least: 0.8 },
    { boxes: 64, least: 0.7 },
    { boxes: 195, least: 0.6 },
  ])(
    "uses at least $least of the limit with $boxes boxes when all other servers are limited too",
    ({ boxes, least }) => {
      // The requests for this one server are four times its usual share of the load.
      const perSecond = Math.max(1.7, boxes * 0.05);
      const requestsPerSecond = (4 * perSecond) / TAKEN_SHARE;
      const scenario = makeScenario({
        boxes,
        perSecond,
        requestsPerSecond,
        durationMs: 60_000,
      });
      const rate = computeRate(runLimitedFleet(scenario), SETTLED_MS, 60_000);
      expect(rate / perSecond).toBeGreaterThanOrEqual(least);
      expect(rate / perSecond).toBeLessThanOrEqual(1.05);
    },
  );

  it.each([14, 64, 195, 473])(
    "uses at least 0.65 of the limit if the first of %d boxes places for all, and stays within the users' bound",
    (boxes) => {
      const scenario = makeScenario({
        boxes,
        perSecond: 3,
        requestsPerSecond: 15,
        durationMs: 60_000,
        isPlacedByFirst: true,
      });
      const arrivals = runLimitedFleet(scenario);
      const rate = computeRate(arrivals, SETTLED_MS, 60_000);
      expect(rate / 3).toBeGreaterThanOrEqual(0.65);
      expect(countMaxInWindow(arrivals)).toBeLessThanOrEqual(computeMaxRequests(3));
    },
  );

  it("sends all requests again once the server no longer names the limit", () => {
    const unnamedAt = 25_000;
    const scenario = makeScenario({
      boxes: 64,
      requestsPerSecond: 20,
      durationMs: 60_000,
      unnamedAt,
    });
    const arrivals = runLimitedFleet(scenario);
    expect(computeRate(arrivals, SETTLED_MS, unnamedAt)).toBeLessThanOrEqual(1.8);
    expect(computeRate(arrivals, unnamedAt + 6_000, 60_000)).toBeGreaterThan(18);
  });
});
