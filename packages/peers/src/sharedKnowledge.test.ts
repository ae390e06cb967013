/** Boxes that read the store through each other: ages are never too low, and changes arrive in time when store readers fail. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BoxName } from "@stairgauge/common";
import {
  countStoreReaders,
  rankByCapacity,
  rankForAsker,
  rankStoreReaders,
} from "./rankStoreReaders.js";
import { MAX_FALLBACK_READERS } from "./sharedReader.js";
import {
  BOUND_MS,
  createSimulation,
  GUARD_MS,
  toEqualMember,
  type Fault,
} from "./sharedKnowledge.testkit.js";

const BOXES = 5;
const END_MS = 9_000;
const TIME = fc.integer({ min: 0, max: END_MS });

const names = Array.from({ length: 40 }, (_, i) => `box-${i}` as BoxName);
const members = names.map(toEqualMember);

/** The store readers among the boxes of the small simulation. */
const STORE_READERS = rankStoreReaders(members.slice(0, BOXES), 2).map((name) =>
  names.indexOf(name),
);

const FAULT: fc.Arbitrary<Fault> = fc
  .record({
    kind: fc.constantFrom(
      "frozen" as const,
      "cut_from_store" as const,
      "slow_links" as const,
      "gone" as const,
    ),
    box: fc.oneof(fc.nat(BOXES - 1), fc.constantFrom(...STORE_READERS)),
    from: TIME,
    duration: fc.integer({ min: 1, max: 4_000 }),
  })
  .map(({ duration, ...rest }) => ({ ...rest, until: rest.from + duration }));

/** Faults, and changes of which some follow just after the beginning of a fault, when boxes still hold the earlier state. */
const SCENARIO = fc
  .record({
    seed: fc.nat(),
    times: fc.array(TIME, { maxLength: 4 }),
    faults: fc.array(FAULT, { minLength: 1, maxLength: 4 }),
    delays: fc.array(fc.integer({ min: 1, max: 1_500 }), { maxLength: 4 }),
  })
  .map(({ seed, times, faults, delays }) => ({
    seed,
    faults,
    changes: [...times, ...delays.map((delay) => faults[0]!.from + delay)].toSorted(
      (a, b) => a - b,
    ),
  }));

/** One or two restores of the store, and changes before, during and after them. */
const RESTORE_SCENARIO = fc.record({
  seed: fc.nat(),
  changes: fc
    .array(TIME, { minLength: 1, maxLength: 5 })
    .map((times) => times.toSorted((a, b) => a - b)),
  restores: fc
    .array(
      fc.record({
        pause: fc.integer({ min: 1, max: 4_000 }),
        downtime: fc.integer({ min: 0, max: 2_500 }),
        backupAge: fc.integer({ min: 0, max: 3_000 }),
        otherVersions: fc.nat(6),
        rewriteAfter: fc.integer({ min: 1, max: 1_500 }),
      }),
      { minLength: 1, maxLength: 2 },
    )
    .map((list) => {
      let end = 0;
      return list.map(({ pause, downtime, ...rest }) => {
        const from = end + pause;
        end = from + downtime;
        return { ...rest, from, until: end };
      });
    }),
});

describe("rankStoreReaders", () => {
  it("returns the same boxes for members listed in another order", () => {
    expect(rankStoreReaders(members.toReversed(), 3)).toEqual(
      rankStoreReaders(members, 3),
    );
    expect(rankStoreReaders(members, 3)).toHaveLength(3);
    expect(rankStoreReaders(members.slice(0, 1), 3)).toEqual(names.slice(0, 1));
  });

  it("keeps the other store readers when one is lost", () => {
    const [first, ...rest] = rankStoreReaders(members, 3);
    const left = members.filter(({ box }) => box !== first);
    expect(rankStoreReaders(left, 3).slice(0, 2)).toEqual(rest);
  });

  it("prefers boxes of high capacity, and returns more store readers for many boxes", () => {
    const weak = names.map((box) => ({ box: `weak ${box}` as BoxName, capacity: 2 }));
    const strong = members.map(({ box }) => ({ box, capacity: 190 }));
    const storeReaders = rankStoreReaders([...weak, ...strong.slice(0, 10)], 2);
    expect(storeReaders).toHaveLength(2);
    expect(storeReaders.filter((box) => box.startsWith("weak"))).toEqual([]);
    const many = Array.from({ length: 400 }, (_, i) => toEqualMember(`b${i}` as BoxName));
    expect(rankStoreReaders(many, 2)).toHaveLength(4);
    // Also when a box is linked to a few of them only.
    expect(rankStoreReaders(many.slice(0, 6), 2, 400)).toHaveLength(4);
  });

  it("spreads the asking boxes over the store readers", () => {
    const storeReaders = rankStoreReaders(members, 2);
    const firsts = names.map((name) => rankForAsker(storeReaders, name)[0]);
    for (const storeReader of storeReaders)
      expect(firsts.filter((first) => first === storeReader).length).toBeGreaterThan(8);
  });
});

describe("boxes that read the store through others", () => {
  it("never report an age below the true one (property)", async () => {
    await fc.assert(
      fc.asyncProperty(SCENARIO, async (scenario) => {
        const simulation = createSimulation({ ...scenario, boxes: BOXES });
        simulation.start();
        await simulation.runUntil(END_MS);
        simulation.stop();
        for (const { asOf, known, at } of simulation.observations) {
          expect(asOf).toBeLessThanOrEqual(at);
          expect(known).toBeGreaterThanOrEqual(simulation.countChangesAt(asOf));
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  }, 120_000);

  it("receive a change within the bound while others are frozen, cut off, slow or gone (property)", async () => {
    await fc.assert(
      fc.asyncProperty(SCENARIO, async ({ seed, faults, changes }) => {
        const last = changes.at(-1) ?? 0;
        const simulation = createSimulation({ seed, boxes: BOXES, changes, faults });
        simulation.start();
        await simulation.runUntil(last + BOUND_MS);
        simulation.stop();
        const faulty = new Set(faults.map(({ box }) => box));
        const late = simulation.knownBy
          .map((known, box) => ({ known, box }))
          .filter(({ known, box }) => known < changes.length && !faulty.has(box));
        expect(late).toEqual([]);
      }),
      { seed: 12, numRuns: 400 },
    );
  }, 120_000);

  it("receive changes in quick succession within the bound from boxes behind narrow links (property)", async () => {
    const faults = STORE_READERS.map((box) => ({
      kind: "narrow_link" as const,
      box,
      from: 2_000,
      until: END_MS,
    }));
    // The age of the guard, plus the round trip of a call to the store.
    const maxDelay = GUARD_MS + 50;
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.integer({ min: 3_500, max: 4_500 }),
        fc.integer({ min: 1, max: 400 }),
        async (seed, at, gap) => {
          const changes = [100, at, at + gap];
          const simulation = createSimulation({ seed, boxes: BOXES, changes, faults });
          simulation.start();
          await simulation.runUntil(at + gap + maxDelay);
          simulation.stop();
          expect(Math.min(...simulation.knownBy)).toBe(changes.length);
        },
      ),
      { seed: 14, numRuns: 150 },
    );
  });

  it("receive changes through others when the store does not answer just them", async () => {
    await fc.assert(
      fc.asyncProperty(fc.nat(), fc.nat(BOXES - 1), async (seed, box) => {
        const cut: Fault = { kind: "cut_from_store", box, from: 1_000, until: END_MS };
        const changes = [100, 4_000, 5_500, 7_000];
        const simulation = createSimulation({
          seed,
          boxes: BOXES,
          changes,
          faults: [cut],
        });
        simulation.start();
        await simulation.runUntil(END_MS);
        simulation.stop();
        expect(simulation.knownBy[box]).toBe(changes.length);
        const delays = changes.map((at, i) => {
          const first = simulation.observations.find(
            (seen) => seen.box === box && seen.known > i,
          );
          return first!.at - at;
        });
        expect(Math.max(...delays)).toBeLessThanOrEqual(BOUND_MS);
      }),
      { seed: 13, numRuns: 40 },
    );
  });

  it("read the table from others at their start while the store is down, with its true age", async () => {
    const changes = [100, 1_900];
    const faults = Array.from({ length: BOXES }, (_, box) => ({
      kind: "cut_from_store" as const,
      box,
      from: 2_000,
      until: END_MS,
    }));
    const simulation = createSimulation({ seed: 7, boxes: BOXES, changes, faults });
    const late = BOXES - 1;
    for (let box = 0; box < late; box += 1) simulation.startOne(box);
    await simulation.runUntil(5_000);
    simulation.startOne(late);
    await simulation.runUntil(6_800);
    simulation.stop();
    expect(simulation.knownBy[late]).toBe(2);
    for (const { asOf } of simulation.observations.filter(({ box }) => box === late))
      expect(asOf).toBeLessThanOrEqual(2_005);
  });

  it.each([
    ["alone", fc.constant([])],
    [
      "beside boxes that are frozen, cut off, slow or gone",
      fc.array(FAULT, { minLength: 1, maxLength: 3 }),
    ],
  ])(
    "receive what is written again after a restore of the store, and lose no change that they had read: %s (property)",
    async (_, someFaults) => {
      await fc.assert(
        fc.asyncProperty(RESTORE_SCENARIO, someFaults, async (scenario, faults) => {
          const { seed, changes, restores } = scenario;
          const simulation = createSimulation({
            seed,
            boxes: BOXES,
            changes,
            faults,
            restores,
          });
          simulation.start();
          const rewritten = restores.map(
            ({ until, rewriteAfter }) => until + rewriteAfter,
          );
          await simulation.runUntil(Math.max(...changes, ...rewritten) + BOUND_MS);
          simulation.stop();
          const faulty = new Set(faults.map(({ box }) => box));
          const behind = simulation.knownBy.filter(
            (known, box) => known < changes.length && !faulty.has(box),
          );
          expect(behind).toEqual([]);
          for (const { asOf, at } of simulation.observations)
            expect(asOf).toBeLessThanOrEqual(at);
        }),
        { seed: 15, numRuns: 300 },
      );
    },
    120_000,
  );

  it.each([7, 66, 300])(
    "read the store a few times each when it was restored from a backup: %i boxes",
    async (boxes) => {
      const restore = {
        from: 3_000,
        until: 4_500,
        backupAge: 1_000,
        otherVersions: 0,
        rewriteAfter: 300,
      };
      const simulation = createSimulation({
        seed: 4,
        boxes,
        changes: [100, 1_900, 2_500],
        faults: [],
        restores: [restore],
        ...(boxes > 12 && { hubLinksUpAt: 300 }),
      });
      simulation.start();
      await simulation.runUntil(restore.until);
      const before = [...simulation.storeCalls];
      await simulation.runUntil(restore.until + 3_000);
      simulation.stop();
      expect(Math.min(...simulation.knownBy)).toBe(3);
      const calls = simulation.storeCalls.map((count, box) => count - before[box]!);
      expect(calls.reduce((sum, count) => sum + count, 0)).toBeLessThan(40 + boxes * 2);
    },
    60_000,
  );

  it("leave the calls to the store to two boxes", async () => {
    const simulation = createSimulation({
      seed: 5,
      boxes: 12,
      changes: [50],
      faults: [],
    });
    simulation.start();
    await simulation.runUntil(2_000);
    const before = [...simulation.storeCalls];
    await simulation.runUntil(12_000);
    simulation.stop();
    const calls = simulation.storeCalls.map((count, box) => count - before[box]!);
    expect(calls.filter((count) => count > 0)).toHaveLength(2);
    expect(calls.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(52);
    expect(Math.min(...simulation.knownBy)).toBe(1);
  });
});

describe.each([
  [6, 40],
  [66, 12],
  [473, 2],
])("%i boxes that are linked to hubs", (boxes, numRuns) => {
  const all = Array.from({ length: boxes }, (_, i) => `box-${i}` as BoxName);
  const topRanked = rankByCapacity(all.map(toEqualMember))
    .slice(0, 3)
    .map((name) => all.indexOf(name));
  const HUB_SCENARIO = fc.record({
    seed: fc.nat(),
    changes: fc
      .array(fc.integer({ min: 100, max: 5_000 }), { minLength: 1, maxLength: 3 })
      .map((times) => times.toSorted((a, b) => a - b)),
    faults: fc.array(
      fc.record({
        kind: fc.constantFrom("frozen" as const, "gone" as const, "closed" as const),
        box: fc.constantFrom(...topRanked),
        from: fc.integer({ min: 500, max: 5_000 }),
        until: fc.constant(20_000),
      }),
      { maxLength: 2 },
    ),
  });

  it("receive a change within the bound, and report no age below the true one, whichever top-ranked boxes are lost (property)", async () => {
    await fc.assert(
      fc.asyncProperty(HUB_SCENARIO, async ({ seed, changes, faults }) => {
        const simulation = createSimulation({
          seed,
          boxes,
          changes,
          faults,
          hubLinksUpAt: 300,
        });
        simulation.start();
        await simulation.runUntil(changes.at(-1)! + BOUND_MS);
        simulation.stop();
        for (const { asOf, known } of simulation.observations)
          expect(known).toBeGreaterThanOrEqual(simulation.countChangesAt(asOf));
        const lost = new Set(faults.map(({ box }) => box));
        const late = all.filter(
          (_, box) => simulation.knownBy[box]! < changes.length && !lost.has(box),
        );
        expect(late).toEqual([]);
      }),
      { seed: 21, numRuns },
    );
  }, 120_000);

  it("leave the calls to the store to the next ranked boxes when it does not answer the store readers", async () => {
    const initialReaders = rankByCapacity(all.map(toEqualMember))
      .slice(0, countStoreReaders(boxes, 2))
      .map((name) => all.indexOf(name));
    const faults = initialReaders.map((box) => ({
      kind: "cut_from_store" as const,
      box,
      from: 2_000,
      until: 20_000,
    }));
    const changes = [1_000, 9_000];
    const simulation = createSimulation({
      seed: 2,
      boxes,
      changes,
      faults,
      hubLinksUpAt: 300,
    });
    simulation.start();
    await simulation.runUntil(6_000);
    const before = [...simulation.storeCalls];
    await simulation.runUntil(11_000);
    simulation.stop();
    const late = all.filter((_, box) => simulation.knownBy[box]! < 2);
    expect(late).toEqual([]);
    const callers = simulation.storeCalls.filter(
      (calls, box) => calls - before[box]! > 3 && !initialReaders.includes(box),
    );
    expect(callers.length).toBeLessThanOrEqual(MAX_FALLBACK_READERS);
  }, 60_000);

  it("continue with another store reader when one is stopped", async () => {
    const [first] = topRanked;
    const faults = [{ kind: "closed" as const, box: first!, from: 3_000, until: 20_000 }];
    const simulation = createSimulation({
      seed: 3,
      boxes,
      changes: [1_000, 4_500],
      faults,
      hubLinksUpAt: 300,
    });
    simulation.start();
    await simulation.runUntil(2_900);
    const before = [...simulation.storeCalls];
    await simulation.runUntil(6_500);
    simulation.stop();
    expect(all.filter((_, box) => box !== first && simulation.knownBy[box]! < 2)).toEqual(
      [],
    );
    const callers = simulation.storeCalls.filter((calls, box) => calls > before[box]!);
    expect(callers.length).toBe(countStoreReaders(boxes, 2));
  }, 60_000);

  it("call the store once each at the start, and then only from the store readers", async () => {
    const changes = [1_000, 2_500];
    const simulation = createSimulation({
      seed: 1,
      boxes,
      changes,
      faults: [],
      hubLinksUpAt: 300,
    });
    simulation.start();
    await simulation.runUntil(5_000);
    simulation.stop();
    const callers = simulation.storeCalls.filter((calls) => calls > 1).length;
    expect(callers).toBe(countStoreReaders(boxes, 2));
  }, 60_000);
});
