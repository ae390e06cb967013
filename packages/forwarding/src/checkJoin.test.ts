import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { mayFollow, type StreamSoFar } from "./checkJoin.js";

const makeSoFar = (first: number, events: number): StreamSoFar => ({
  events,
  firstId: String(first),
  lastId: String(first + events - 1),
});

describe("mayFollow", () => {
  it.each([
    ["the next number", "5", true],
    ["a number left out", "6", false],
    ["the last one again", "4", false],
    ["the first one again", "0", false],
    ["an event without an id", undefined, true],
    ["an id that is no number", "e-5", true],
  ])("behind 0 to 4: %s", (_name, next, isRight) => {
    expect(mayFollow(makeSoFar(0, 5), next)).toBe(isRight);
  });

  it("knows no step after one event, or where ids rose by more than one", () => {
    expect(mayFollow(makeSoFar(3, 1), "5")).toBe(true);
    expect(mayFollow({ events: 3, firstId: "0", lastId: "8" }, "12")).toBe(true);
    expect(mayFollow({ events: 3, firstId: "0", lastId: "8" }, "8")).toBe(false);
  });

  it("holds a first server to what the client itself asked behind", () => {
    const asked = { events: 0, firstId: undefined, lastId: "7" };
    expect(mayFollow(asked, "8")).toBe(true);
    expect(mayFollow(asked, "0")).toBe(false);
  });

  it("never lets a number come twice, whatever came before", () => {
    fc.assert(
      fc.property(
        fc.nat(99),
        fc.integer({ min: 1, max: 99 }),
        fc.nat(99),
        (first, events, next) => {
          const soFar = makeSoFar(first, events);
          if (next < first + events) expect(mayFollow(soFar, String(next))).toBe(false);
          expect(mayFollow(soFar, String(first + events))).toBe(true);
        },
      ),
      { seed: 1, numRuns: 300 },
    );
  });
});
