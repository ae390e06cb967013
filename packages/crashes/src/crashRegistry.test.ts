import { describe, expect, it } from "vitest";
import fc from "fast-check";
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createCrashRegistry } from "./crashRegistry.js";
import type { RequestDigest, ServerCrash } from "./types.js";

const LIMITS = { blockingEnds: 3, memory: 1_000 as Ms };
const DIGEST = "d" as RequestDigest;

const makeCrash = (server: string, at: number, digest = DIGEST): ServerCrash => ({
  digest,
  server: server as ServerId,
  at: at as Ms,
});

describe("createCrashRegistry", () => {
  it("blocks a request after three servers crashed under it, until the first crash is too old", () => {
    const registry = createCrashRegistry(LIMITS);
    expect(registry.getStatus(DIGEST, 0 as Ms)).toEqual({ kind: "unsuspected" });
    registry.add(makeCrash("a", 0), 0 as Ms);
    registry.add(makeCrash("b", 100), 100 as Ms);
    expect(registry.getStatus(DIGEST, 100 as Ms)).toEqual({ kind: "suspected", ends: 2 });
    registry.add(makeCrash("c", 200), 200 as Ms);
    expect(registry.getStatus(DIGEST, 200 as Ms)).toEqual({
      kind: "blocked",
      ends: 3,
      left: 800,
    });
    expect(registry.getStatus(DIGEST, 1_000 as Ms)).toEqual({
      kind: "suspected",
      ends: 2,
    });
  });

  it("counts a server once, and a restart of it as another server", () => {
    const registry = createCrashRegistry(LIMITS);
    expect(registry.add(makeCrash("a 1", 0), 0 as Ms)).toBe(true);
    expect(registry.add(makeCrash("a 1", 1), 1 as Ms)).toBe(false);
    expect(registry.add(makeCrash("a 2", 2), 2 as Ms)).toBe(true);
    expect(registry.getStatus(DIGEST, 2 as Ms)).toEqual({ kind: "suspected", ends: 2 });
  });

  it("counts unconfirmed crashes of servers that are not on record", () => {
    const registry = createCrashRegistry(LIMITS);
    registry.add(makeCrash("a", 0), 0 as Ms);
    const besides = new Set(["a", "b"] as ServerId[]);
    expect(registry.getStatus(DIGEST, 0 as Ms, besides)).toEqual({
      kind: "suspected",
      ends: 2,
    });
  });

  it("forgets a released request and ignores late reports of crashes before its release", () => {
    const registry = createCrashRegistry(LIMITS);
    registry.add(makeCrash("a", 0), 0 as Ms);
    expect(registry.release(DIGEST, 10 as Ms)).toBe(true);
    expect(registry.release(DIGEST, 11 as Ms)).toBe(false);
    expect(registry.add(makeCrash("b", 10), 20 as Ms)).toBe(false);
    expect(registry.add(makeCrash("c", 11), 20 as Ms)).toBe(true);
  });

  /**
   * If outdated crashes stay on record, the registry is never empty again and every request is hashed. A request that crashes
   * three servers an hour then reaches the maximum on record after about ten hours and can't be blocked any more.
   */
  it("forgets outdated crashes, so that a request that crashes servers for days is blocked each time", () => {
    const registry = createCrashRegistry(LIMITS);
    for (let round = 0; round < 50; round += 1) {
      const now = (round * 2_000) as Ms;
      for (const server of ["a", "b", "c"])
        expect(registry.add(makeCrash(`${server} ${round}`, now), now)).toBe(true);
      expect(registry.getStatus(DIGEST, now).kind).toBe("blocked");
      expect(registry.listCrashes(DIGEST)).toHaveLength(3);
    }
  });

  it("is empty once all crashes on record are too old", () => {
    const registry = createCrashRegistry(LIMITS);
    const other = "e" as RequestDigest;
    registry.add(makeCrash("a", 0), 0 as Ms);
    registry.add(makeCrash("a", 600, other), 600 as Ms);
    expect(registry.isEmpty(1_000 as Ms)).toBe(false);
    expect(registry.listRequests()).toEqual([other]);
    expect(registry.isEmpty(1_600 as Ms)).toBe(true);
    expect(registry.listRequests()).toEqual([]);
  });

  it("keeps a request blocked when thousands of others were running on servers that crashed", () => {
    const registry = createCrashRegistry(LIMITS);
    for (const server of ["a", "b", "c"]) registry.add(makeCrash(server, 0), 0 as Ms);
    for (let i = 0; i < 10_000; i += 1)
      registry.add(makeCrash("d", 1, `other ${i}` as RequestDigest), 1 as Ms);
    expect(registry.listRequests().length).toBeLessThanOrEqual(4_096);
    expect(registry.getStatus(DIGEST, 1 as Ms).kind).toBe("blocked");
  });

  it("returns the same status for any order of the crashes and for repeated ones (property)", () => {
    const reports = fc.array(
      fc.record({
        server: fc.integer({ min: 0, max: 5 }),
        at: fc.integer({ max: 500, min: 0 }),
      }),
      { maxLength: 12 },
    );
    fc.assert(
      fc.property(reports, fc.infiniteStream(fc.nat()), (reported, order) => {
        // A server crashes once, at one time.
        const crashes = reported.map(({ server }) =>
          makeCrash(`s${server}`, server * 10),
        );
        const shuffled = [...crashes, ...crashes]
          .map((crash) => ({ crash, place: order.next().value as number }))
          .sort((a, b) => a.place - b.place);
        const getStatusOf = (all: readonly ServerCrash[]) => {
          const registry = createCrashRegistry(LIMITS);
          for (const crash of all) registry.add(crash, 500 as Ms);
          return registry.getStatus(DIGEST, 500 as Ms);
        };
        expect(getStatusOf(shuffled.map(({ crash }) => crash))).toEqual(
          getStatusOf(crashes),
        );
      }),
    );
  });
});
