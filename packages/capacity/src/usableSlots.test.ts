/** Usable slots: the pipeline, and the lowering after a rejection. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createVirtualClock, type Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { createLoadRegistry, createPlainRun } from "@stairgauge/placement";
import { computeAskLimit, countPresent, createUsableSlots } from "./index.js";

const id = "s1" as ServerId;
const setUp = () => {
  const clock = createVirtualClock();
  const isBrittle = (server: ServerId) => server === "brittle";
  const usable = createUsableSlots({ clock, isBrittle, onEvent: () => undefined });
  return { clock, usable };
};

describe("createUsableSlots", () => {
  it.each([
    [1, 2],
    [4, 5],
    [6, 8],
    [24, 30],
  ])("adds a pipeline of a quarter, at least one, to %i slots", (slots, whole) => {
    expect(setUp().usable.count({ id, slots })).toBe(whole);
  });

  it("adds no pipeline to the slots of a brittle server", () => {
    expect(setUp().usable.count({ id: "brittle" as ServerId, slots: 6 })).toBe(6);
  });

  it("lowers the slots to the requests that were there, for one second", () => {
    const { clock, usable } = setUp();
    usable.lower({ id, slots: 6 }, 4);
    expect(usable.count({ id, slots: 6 })).toBe(4);
    clock.advance(1_000 as Ms);
    expect(usable.count({ id, slots: 6 })).toBe(8);
  });

  it("stays between one request and the whole, and never rises by a rejection (property)", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 64 }),
        fc.array(fc.nat({ max: 100 }), { minLength: 1, maxLength: 20 }),
        (slots, rejections) => {
          const { usable } = setUp();
          const entry = { id, slots };
          for (const present of rejections) {
            const before = usable.count(entry);
            usable.lower(entry, present);
            expect(usable.count(entry)).toBeLessThanOrEqual(before);
            expect(usable.count(entry)).toBeGreaterThanOrEqual(1);
          }
        },
      ),
      { seed: 7 },
    );
  });
});

describe("countPresent", () => {
  it("counts own requests once, whether they are recorded as runs or were sent before", () => {
    const registry = createLoadRegistry();
    for (let i = 0; i < 3; i += 1) registry.addOpen(id);
    registry.addRun(id, createPlainRun("a"));
    registry.putPeerRun("b2", { server: id, run: createPlainRun("a") });
    expect(countPresent(registry, id)).toBe(4);
  });
});

describe("computeAskLimit", () => {
  it.each([
    [-10, 25],
    [100, 25],
    [307, 61.4],
    [4_000, 150],
  ])("allows a fifth of %i ms within its bounds", (aimLeft, limit) => {
    expect(computeAskLimit(aimLeft as Ms)).toBeCloseTo(limit);
  });
});
