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
  const backoffs = createServerBackoffs({
    clock,
    random,
    onEvent: (event) => events.push(event),
  });
  return { clock, backoffs, events, listKinds: () => events.map(({ kind }) => kind) };
};

/** Advances the clock past the latest time at which the box resumes after a backoff. */
const passBackoff = (clock: ReturnType<typeof createVirtualClock>, duration: number) =>
  clock.advance(toMs(duration * 1.25));

describe("createServerBackoffs", () => {
  it("blocks requests to the server, but not to others, until the backoff is over", () => {
    const { clock, backoffs, listKinds } = setUp();
    backoffs.begin(SERVER, toMs(3_000));
    for (let at = 0; at < 3_000; at += 100) {
      expect(backoffs.mayReceive(SERVER, 0)).toBe(false);
      expect(backoffs.mayReceive(OTHER, 9)).toBe(true);
      clock.advance(toMs(100));
    }
    passBackoff(clock, 3_000);
    expect(backoffs.mayReceive(SERVER, 0)).toBe(true);
    expect(listKinds()).toEqual(["asked", "over"]);
  });

  it("prolongs a backoff when a longer one is asked, and never shortens it", () => {
    const { clock, backoffs, listKinds } = setUp();
    backoffs.begin(SERVER, toMs(3_000));
    backoffs.begin(SERVER, toMs(100));
    clock.advance(toMs(2_900));
    expect(backoffs.isBackingOff(SERVER)).toBe(true);
    backoffs.begin(SERVER, toMs(3_000));
    clock.advance(toMs(2_900));
    expect(backoffs.isBackingOff(SERVER)).toBe(true);
    expect(listKinds()).toEqual(["asked", "prolonged"]);
  });

  it("limits an infinite backoff to the maximum", () => {
    const { clock, backoffs } = setUp();
    backoffs.begin(SERVER, toMs(Infinity));
    clock.advance(toMs(601_000));
    expect(backoffs.mayReceive(SERVER, 0)).toBe(true);
  });

  it("allows two exceptional requests per backoff, prolonged or not", () => {
    const { backoffs } = setUp();
    expect(backoffs.takeDuringBackoff(SERVER)).toBe(true);
    backoffs.begin(SERVER, toMs(3_000));
    expect(backoffs.takeDuringBackoff(SERVER)).toBe(true);
    backoffs.begin(SERVER, toMs(9_000));
    expect(backoffs.takeDuringBackoff(SERVER)).toBe(true);
    expect(backoffs.takeDuringBackoff(SERVER)).toBe(false);
  });

  it("allows one request after the backoff, and doubles the limit with each answer to a request sent after it", () => {
    const { clock, backoffs } = setUp();
    backoffs.begin(SERVER, toMs(1_000));
    passBackoff(clock, 1_000);
    const listAllowed = () =>
      [0, 1, 2, 4, 8].filter((open) => backoffs.mayReceive(SERVER, open));
    expect(listAllowed()).toEqual([0]);
    backoffs.recordAnswer(SERVER, toMs(2_000));
    expect(listAllowed()).toEqual([0]);
    backoffs.recordAnswer(SERVER, toMs(0));
    expect(listAllowed()).toEqual([0, 1]);
    for (let i = 0; i < 3; i += 1) backoffs.recordAnswer(SERVER, toMs(0));
    expect(listAllowed()).toEqual([0, 1, 2, 4, 8]);
  });

  it("starts a new backoff when an answer asks for one after the previous one, and forgets it on request", () => {
    const { clock, backoffs, listKinds } = setUp();
    backoffs.begin(SERVER, toMs(1_000));
    passBackoff(clock, 1_000);
    expect(backoffs.mayReceive(SERVER, 0)).toBe(true);
    backoffs.begin(SERVER, toMs(1_000));
    expect(backoffs.mayReceive(SERVER, 0)).toBe(false);
    expect(backoffs.listBackingOff()).toEqual([SERVER]);
    backoffs.forget(SERVER);
    expect(backoffs.mayReceive(SERVER, 9)).toBe(true);
    expect(listKinds()).toEqual(["asked", "over", "asked"]);
  });

  it("spreads the retry delays of refused clients from the end of the earliest backoff on", () => {
    const { clock, backoffs } = setUp();
    backoffs.begin(SERVER, toMs(8_000));
    backoffs.begin(OTHER, toMs(3_000));
    const times = Array.from({ length: 20 }, () =>
      backoffs.computeRetryAfter([SERVER, OTHER]),
    );
    for (const time of times) {
      expect(time).toBeGreaterThanOrEqual(3_000);
      expect(time).toBeLessThanOrEqual(3_000 * 1.25 + 1_001);
    }
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(500);
    clock.advance(toMs(20_000));
    expect(backoffs.computeRetryAfter([SERVER, OTHER])).toBe(0);
  });
});

describe("createServerBackoffs at many boxes", () => {
  it("lets boxes that were rejected at the same time resume spread over a second, with one request each", () => {
    const DURATION = 3_000;
    const random = createSeededRandom(44);
    const boxes = Array.from({ length: 64 }, () => setUp(random));
    for (const { backoffs } of boxes) backoffs.begin(SERVER, toMs(DURATION));
    const returned = boxes.map(({ clock, backoffs }) => {
      let at = 0;
      while (!backoffs.mayReceive(SERVER, 0)) {
        clock.advance(toMs(10));
        at += 10;
      }
      expect(backoffs.mayReceive(SERVER, 1)).toBe(false);
      return at;
    });
    expect(Math.min(...returned)).toBeGreaterThanOrEqual(DURATION);
    const inTenths = returned.map((at) => Math.floor(at / 100));
    const maxInTenth = Math.max(
      ...inTenths.map((tenth) => inTenths.filter((one) => one === tenth).length),
    );
    expect(maxInTenth).toBeLessThanOrEqual(20);
  });
});

describe("createServerBackoffs with any sequence of answers", () => {
  it("sends at most two requests during any requested backoff (property)", () => {
    const step = fc.record({
      wait: fc.integer({ min: 0, max: 900 }),
      answer: fc.constantFrom("rest", "short_rest", "sound"),
      isSpared: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { clock, backoffs } = setUp();
        const sent: number[] = [];
        const asked: { from: number; to: number }[] = [];
        for (const { wait, answer, isSpared } of steps) {
          clock.advance(toMs(wait));
          const now = clock.monotonic();
          const isSent = isSpared
            ? backoffs.takeDuringBackoff(SERVER)
            : backoffs.mayReceive(SERVER, 0);
          if (!isSent) continue;
          sent.push(now);
          const duration = answer === "short_rest" ? 400 : 2_000;
          if (answer === "sound") {
            backoffs.recordAnswer(SERVER, toMs(0));
          } else {
            backoffs.begin(SERVER, toMs(duration));
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
