import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { addId, canContinueAfter, checkJoin, createIdSequence } from "./checkJoin.js";

const addIds = (resumeAfter: string | undefined, ids: readonly (string | undefined)[]) =>
  ids.reduce(addId, createIdSequence(resumeAfter));

describe("checkJoin", () => {
  it.each([
    ["3", "follows"],
    ["2", "repeats"],
    ["1", "repeats"],
    ["0", "repeats"],
    ["4", "skips"],
    ["x", "unknown"],
    [undefined, "unknown"],
  ])("classifies id %j after 0, 1, 2 as %s", (next, verdict) => {
    expect(checkJoin(addIds(undefined, ["0", "1", "2"]), next)).toBe(verdict);
    expect(checkJoin(addIds("0", ["1", "2"]), next)).toBe(verdict);
  });

  it.each([
    ["31", "follows"],
    ["90", "follows"],
    ["30", "repeats"],
    ["7", "repeats"],
    ["x", "unknown"],
  ])("accepts any higher id if ids do not rise by one: %j %s", (next, verdict) => {
    expect(checkJoin(addIds(undefined, ["5", "10", "30"]), next)).toBe(verdict);
  });

  it("accepts any step until two ids have been seen", () => {
    expect(checkJoin(addIds(undefined, ["5"]), "10")).toBe("follows");
    expect(checkJoin(addIds("5", []), "10")).toBe("follows");
    expect(checkJoin(addIds("5", ["6"]), "10")).toBe("skips");
  });

  it("recognizes only the first and the last of ids that are no numbers", () => {
    const sequence = addIds(undefined, ["a", "c", "f"]);
    expect(checkJoin(sequence, "f")).toBe("repeats");
    expect(checkJoin(sequence, "a")).toBe("repeats");
    expect(checkJoin(sequence, "c")).toBe("unknown");
    expect(checkJoin(sequence, "g")).toBe("unknown");
  });

  it("does not compare as numbers ids that are too long or have leading zeros", () => {
    const sequence = addIds(undefined, ["9007199254740992"]);
    expect(checkJoin(sequence, "9007199254740993")).toBe("unknown");
    expect(checkJoin(addIds(undefined, ["07"]), "8")).toBe("unknown");
  });

  it("cannot continue after an event without an id", () => {
    expect(canContinueAfter(addIds(undefined, []))).toBe(true);
    expect(canContinueAfter(addIds("4", []))).toBe(true);
    expect(canContinueAfter(addIds(undefined, ["0"]))).toBe(true);
    expect(canContinueAfter(addIds(undefined, ["0", undefined]))).toBe(false);
    expect(canContinueAfter(addIds("4", [undefined]))).toBe(false);
    expect(checkJoin(addIds(undefined, ["0", undefined]), "1")).toBe("unknown");
  });

  it("accepts only the next id of a stream whose ids rise by one (property)", () => {
    fc.assert(
      fc.property(
        fc.nat(50),
        fc.integer({ min: 2, max: 20 }),
        fc.nat(100),
        (from, count, next) => {
          const ids = Array.from({ length: count }, (_, i) => String(from + i));
          const sequence = addIds(undefined, ids);
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
