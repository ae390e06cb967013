import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { addId, canName, checkJoin, createIdSequence } from "./checkJoin.js";

const follow = (asked: string | undefined, ids: readonly (string | undefined)[]) =>
  ids.reduce(addId, createIdSequence(asked));

describe("checkJoin", () => {
  it.each([
    ["3", "follows"],
    ["2", "repeats"],
    ["1", "repeats"],
    ["0", "repeats"],
    ["4", "skips"],
    ["x", "unknown"],
    [undefined, "unknown"],
  ])("holds %j behind 0, 1, 2 for what it is: %s", (next, verdict) => {
    expect(checkJoin(follow(undefined, ["0", "1", "2"]), next)).toBe(verdict);
    expect(checkJoin(follow("0", ["1", "2"]), next)).toBe(verdict);
  });

  it.each([
    ["31", "follows"],
    ["90", "follows"],
    ["30", "repeats"],
    ["7", "repeats"],
    ["x", "unknown"],
  ])("takes ids that rise by more than one as they come: %j %s", (next, verdict) => {
    expect(checkJoin(follow(undefined, ["5", "10", "30"]), next)).toBe(verdict);
  });

  it("holds nothing against a step while none was seen", () => {
    expect(checkJoin(follow(undefined, ["5"]), "10")).toBe("follows");
    expect(checkJoin(follow("5", []), "10")).toBe("follows");
    expect(checkJoin(follow("5", ["6"]), "10")).toBe("skips");
  });

  it("knows of texts only whether they are the first or the last", () => {
    const sequence = follow(undefined, ["a", "c", "f"]);
    expect(checkJoin(sequence, "f")).toBe("repeats");
    expect(checkJoin(sequence, "a")).toBe("repeats");
    expect(checkJoin(sequence, "c")).toBe("unknown");
    expect(checkJoin(sequence, "g")).toBe("unknown");
  });

  it("keeps figures that a number would lose", () => {
    const sequence = follow(undefined, ["9007199254740992"]);
    expect(checkJoin(sequence, "9007199254740993")).toBe("unknown");
    expect(checkJoin(follow(undefined, ["07"]), "8")).toBe("unknown");
  });

  it("cannot name the place behind an event without an id", () => {
    expect(canName(follow(undefined, []))).toBe(true);
    expect(canName(follow("4", []))).toBe(true);
    expect(canName(follow(undefined, ["0"]))).toBe(true);
    expect(canName(follow(undefined, ["0", undefined]))).toBe(false);
    expect(canName(follow("4", [undefined]))).toBe(false);
    expect(checkJoin(follow(undefined, ["0", undefined]), "1")).toBe("unknown");
  });

  it("finds every wrong place in a stream whose ids rise by one, and takes the right one", () => {
    fc.assert(
      fc.property(
        fc.nat(50),
        fc.integer({ min: 2, max: 20 }),
        fc.nat(100),
        (from, count, next) => {
          const ids = Array.from({ length: count }, (_, i) => String(from + i));
          const sequence = follow(undefined, ids);
          const right = from + count;
          const wrong = next < right ? "repeats" : "skips";
          expect(checkJoin(sequence, String(next))).toBe(
            next === right ? "follows" : wrong,
          );
        },
      ),
      { seed: 1, numRuns: 500 },
    );
  });
});
