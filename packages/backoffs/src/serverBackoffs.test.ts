import { describe, expect, it } from "vitest";
import fc from "fast-check";
import { createSeededRandom, createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createServerBackoffs, type BackoffEvent } from "./index.js";

const SERVER = "page-0@1" as ServerId;
const OTHER = "page-1@1" as ServerId;
const toMs = (time: number) => time as Ms;

const setUp = (random = createSeededRandom(44)) => {
  const clock = createVirtualClock();
  const events: BackoffEvent[] = [];
  const rests = createServerBackoffs({
    clock,
    random,
    onEvent: (event) => events.push(event),
  });
  return { clock, rests, events, listKinds: () => events.map(({ kind }) => kind) };
};

/** Moves past the latest moment at which this box comes back after a rest. */
const passRest = (clock: ReturnType<typeof createVirtualClock>, duration: number) =>
  clock.advance(toMs(duration * 1.25));

describe("a rest", () => {
  it("keeps everything from its server, and nothing from others, until it is over", () => {
    const { clock, rests, listKinds } = setUp();
    rests.begin(SERVER, toMs(3_000));
    for (let at = 0; at < 3_000; at += 100) {
      expect(rests.mayTake(SERVER, 0)).toBe(false);
      expect(rests.mayTake(OTHER, 9)).toBe(true);
      clock.advance(toMs(100));
    }
    passRest(clock, 3_000);
    expect(rests.mayTake(SERVER, 0)).toBe(true);
    expect(listKinds()).toEqual(["asked", "over"]);
  });

  it("is prolonged by a later one, and never shortened", () => {
    const { clock, rests, listKinds } = setUp();
    rests.begin(SERVER, toMs(3_000));
    rests.begin(SERVER, toMs(100));
    clock.advance(toMs(2_900));
    expect(rests.isResting(SERVER)).toBe(true);
    rests.begin(SERVER, toMs(3_000));
    clock.advance(toMs(2_900));
    expect(rests.isResting(SERVER)).toBe(true);
    expect(listKinds()).toEqual(["asked", "prolonged"]);
  });

  it("is cut where it has no bound", () => {
    const { clock, rests } = setUp();
    rests.begin(SERVER, toMs(Infinity));
    clock.advance(toMs(601_000));
    expect(rests.mayTake(SERVER, 0)).toBe(true);
  });

  it("spares two requests that can go nowhere else, prolonged or not", () => {
    const { rests } = setUp();
    expect(rests.takeSpared(SERVER)).toBe(true);
    rests.begin(SERVER, toMs(3_000));
    expect(rests.takeSpared(SERVER)).toBe(true);
    rests.begin(SERVER, toMs(9_000));
    expect(rests.takeSpared(SERVER)).toBe(true);
    expect(rests.takeSpared(SERVER)).toBe(false);
  });

  it("gives one request at first, and twice as many with each answer to one that was sent after it", () => {
    const { clock, rests } = setUp();
    rests.begin(SERVER, toMs(1_000));
    passRest(clock, 1_000);
    const listAllowed = () =>
      [0, 1, 2, 4, 8].filter((open) => rests.mayTake(SERVER, open));
    expect(listAllowed()).toEqual([0]);
    rests.recordAnswer(SERVER, toMs(2_000));
    expect(listAllowed()).toEqual([0]);
    rests.recordAnswer(SERVER, toMs(0));
    expect(listAllowed()).toEqual([0, 1]);
    for (let i = 0; i < 3; i += 1) rests.recordAnswer(SERVER, toMs(0));
    expect(listAllowed()).toEqual([0, 1, 2, 4, 8]);
  });

  it("begins anew with the first answer that asks for it again", () => {
    const { clock, rests, listKinds } = setUp();
    rests.begin(SERVER, toMs(1_000));
    passRest(clock, 1_000);
    expect(rests.mayTake(SERVER, 0)).toBe(true);
    rests.begin(SERVER, toMs(1_000));
    expect(rests.mayTake(SERVER, 0)).toBe(false);
    expect(rests.listResting()).toEqual([SERVER]);
    rests.forget(SERVER);
    expect(rests.mayTake(SERVER, 9)).toBe(true);
    expect(listKinds()).toEqual(["asked", "over", "asked"]);
  });

  it("tells refused clients to come back at its end or a little later, not all at once", () => {
    const { clock, rests } = setUp();
    rests.begin(SERVER, toMs(8_000));
    rests.begin(OTHER, toMs(3_000));
    const times = Array.from({ length: 20 }, () =>
      rests.computeRetryAfter([SERVER, OTHER]),
    );
    for (const time of times) {
      expect(time).toBeGreaterThanOrEqual(3_000);
      expect(time).toBeLessThanOrEqual(3_000 * 1.25 + 1_001);
    }
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(500);
    clock.advance(toMs(20_000));
    expect(rests.computeRetryAfter([SERVER, OTHER])).toBe(0);
  });
});

describe("boxes that a server has turned away in the same moment", () => {
  it("come back spread over a second, and each with one request", () => {
    const REST = 3_000;
    const random = createSeededRandom(44);
    const boxes = Array.from({ length: 64 }, () => setUp(random));
    for (const { rests } of boxes) rests.begin(SERVER, toMs(REST));
    const returned = boxes.map(({ clock, rests }) => {
      let at = 0;
      while (!rests.mayTake(SERVER, 0)) {
        clock.advance(toMs(10));
        at += 10;
      }
      expect(rests.mayTake(SERVER, 1)).toBe(false);
      return at;
    });
    expect(Math.min(...returned)).toBeGreaterThanOrEqual(REST);
    const inTenths = returned.map((at) => Math.floor(at / 100));
    const most = Math.max(
      ...inTenths.map((tenth) => inTenths.filter((one) => one === tenth).length),
    );
    expect(most).toBeLessThanOrEqual(20);
  });
});

describe("whatever a server asks for and when", () => {
  it("gets no more than two requests of a box in any time for which it asked (property)", () => {
    const step = fc.record({
      wait: fc.integer({ min: 0, max: 900 }),
      answer: fc.constantFrom("rest", "short_rest", "sound"),
      isSpared: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { clock, rests } = setUp();
        const sent: number[] = [];
        const asked: { from: number; to: number }[] = [];
        for (const { wait, answer, isSpared } of steps) {
          clock.advance(toMs(wait));
          const now = clock.monotonic();
          const isSent = isSpared ? rests.takeSpared(SERVER) : rests.mayTake(SERVER, 0);
          if (!isSent) continue;
          sent.push(now);
          const duration = answer === "short_rest" ? 400 : 2_000;
          if (answer === "sound") {
            rests.recordAnswer(SERVER, toMs(0));
          } else {
            rests.begin(SERVER, toMs(duration));
            asked.push({ from: now, to: now + duration });
          }
        }
        for (const { from, to } of asked)
          expect(sent.filter((at) => at > from && at < to).length).toBeLessThanOrEqual(2);
      }),
      { seed: 44, numRuns: 500 },
    );
  });
});
