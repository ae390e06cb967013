import { describe, expect, it } from "vitest";
import fc from "fast-check";
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createCrashRegistry } from "./crashRegistry.js";
import type { RequestDigest, ServerCrash } from "./types.js";

const LIMITS = { blockingEnds: 3, memory: 1_000 as Ms };
const DIGEST = "d" as RequestDigest;

const makeEnd = (server: string, at: number, digest = DIGEST): ServerCrash => ({
  digest,
  server: server as ServerId,
  at: at as Ms,
});

describe("createEndBook", () => {
  it("blocks a request at the third server that ends under it, until the first end is too old", () => {
    const book = createCrashRegistry(LIMITS);
    expect(book.getStatus(DIGEST, 0 as Ms)).toEqual({ kind: "unsuspected" });
    book.add(makeEnd("a", 0), 0 as Ms);
    book.add(makeEnd("b", 100), 100 as Ms);
    expect(book.getStatus(DIGEST, 100 as Ms)).toEqual({ kind: "suspected", ends: 2 });
    book.add(makeEnd("c", 200), 200 as Ms);
    expect(book.getStatus(DIGEST, 200 as Ms)).toEqual({
      kind: "blocked",
      ends: 3,
      left: 800,
    });
    expect(book.getStatus(DIGEST, 1_000 as Ms)).toEqual({ kind: "suspected", ends: 2 });
  });

  it("counts a server once, and another start of it as another", () => {
    const book = createCrashRegistry(LIMITS);
    expect(book.add(makeEnd("a 1", 0), 0 as Ms)).toBe(true);
    expect(book.add(makeEnd("a 1", 1), 1 as Ms)).toBe(false);
    expect(book.add(makeEnd("a 2", 2), 2 as Ms)).toBe(true);
    expect(book.getStatus(DIGEST, 2 as Ms)).toEqual({ kind: "suspected", ends: 2 });
  });

  it("counts servers whose end is not known yet beside those that are known", () => {
    const book = createCrashRegistry(LIMITS);
    book.add(makeEnd("a", 0), 0 as Ms);
    const besides = new Set(["a", "b"] as ServerId[]);
    expect(book.getStatus(DIGEST, 0 as Ms, besides)).toEqual({
      kind: "suspected",
      ends: 2,
    });
  });

  it("forgets a request that is released, and what is told late of the time before", () => {
    const book = createCrashRegistry(LIMITS);
    book.add(makeEnd("a", 0), 0 as Ms);
    expect(book.release(DIGEST, 10 as Ms)).toBe(true);
    expect(book.release(DIGEST, 11 as Ms)).toBe(false);
    expect(book.add(makeEnd("b", 10), 20 as Ms)).toBe(false);
    expect(book.add(makeEnd("c", 11), 20 as Ms)).toBe(true);
  });

  /**
   * Ends that were too old to count stayed in the book: it was never empty again, so every request was hashed, and a request that
   * ended three servers an hour reached the bound on its ends after some ten hours, from when on it could not be blocked.
   */
  it("forgets ends that are too old, so that a request that ends servers for days is blocked each time", () => {
    const book = createCrashRegistry(LIMITS);
    for (let round = 0; round < 50; round += 1) {
      const now = (round * 2_000) as Ms;
      for (const server of ["a", "b", "c"])
        expect(book.add(makeEnd(`${server} ${round}`, now), now)).toBe(true);
      expect(book.getStatus(DIGEST, now).kind).toBe("blocked");
      expect(book.listEnds(DIGEST)).toHaveLength(3);
    }
  });

  it("is empty again once all ends in it are too old", () => {
    const book = createCrashRegistry(LIMITS);
    const other = "e" as RequestDigest;
    book.add(makeEnd("a", 0), 0 as Ms);
    book.add(makeEnd("a", 600, other), 600 as Ms);
    expect(book.isEmpty(1_000 as Ms)).toBe(false);
    expect(book.listRequests()).toEqual([other]);
    expect(book.isEmpty(1_600 as Ms)).toBe(true);
    expect(book.listRequests()).toEqual([]);
  });

  it("keeps what is blocked when thousands of others were aboard of servers that ended", () => {
    const book = createCrashRegistry(LIMITS);
    for (const server of ["a", "b", "c"]) book.add(makeEnd(server, 0), 0 as Ms);
    for (let i = 0; i < 10_000; i += 1)
      book.add(makeEnd("d", 1, `other ${i}` as RequestDigest), 1 as Ms);
    expect(book.listRequests().length).toBeLessThanOrEqual(4_096);
    expect(book.getStatus(DIGEST, 1 as Ms).kind).toBe("blocked");
  });

  it("comes to the same in whatever order ends are told, also twice (property)", () => {
    const endsOf = fc.array(
      fc.record({
        server: fc.integer({ min: 0, max: 5 }),
        at: fc.integer({ max: 500, min: 0 }),
      }),
      { maxLength: 12 },
    );
    fc.assert(
      fc.property(endsOf, fc.infiniteStream(fc.nat()), (told, order) => {
        // A server has one end, at one time.
        const ends = told.map(({ server }) => makeEnd(`s${server}`, server * 10));
        const shuffled = [...ends, ...ends]
          .map((end) => ({ end, place: order.next().value as number }))
          .sort((a, b) => a.place - b.place);
        const judge = (all: readonly ServerCrash[]) => {
          const book = createCrashRegistry(LIMITS);
          for (const end of all) book.add(end, 500 as Ms);
          return book.getStatus(DIGEST, 500 as Ms);
        };
        expect(judge(shuffled.map(({ end }) => end))).toEqual(judge(ends));
      }),
    );
  });
});
