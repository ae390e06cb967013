/** What boxes know through each other: never younger than it is, and in time also when those that hear the store fail. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BoxName } from "@stairgauge/common";
import {
  countStoreReaders,
  rankByCapacity,
  rankForAsker,
  rankStoreReaders,
} from "./rankStoreReaders.js";
import { SECOND_LINE } from "./sharedReader.js";
import {
  BOUND_MS,
  createWorld,
  GUARD_MS,
  toEqualMember,
  type Trouble,
} from "./sharedKnowledge.testkit.js";

const BOXES = 5;
const END_MS = 9_000;
const TIME = fc.integer({ min: 0, max: END_MS });

const names = Array.from({ length: 40 }, (_, i) => `box-${i}` as BoxName);
const members = names.map(toEqualMember);

/** The boxes of the small world that hear the store. */
const HEARERS = rankStoreReaders(members.slice(0, BOXES), 2).map((name) =>
  names.indexOf(name),
);

const TROUBLE: fc.Arbitrary<Trouble> = fc
  .record({
    kind: fc.constantFrom(
      "frozen" as const,
      "cut_from_store" as const,
      "slow_links" as const,
      "gone" as const,
    ),
    box: fc.oneof(fc.nat(BOXES - 1), fc.constantFrom(...HEARERS)),
    from: TIME,
    duration: fc.integer({ min: 1, max: 4_000 }),
  })
  .map(({ duration, ...rest }) => ({ ...rest, until: rest.from + duration }));

/** Troubles, and changes of which some come just after a trouble has begun: that is when what is known is wrong. */
const DAY = fc
  .record({
    seed: fc.nat(),
    times: fc.array(TIME, { maxLength: 4 }),
    troubles: fc.array(TROUBLE, { minLength: 1, maxLength: 4 }),
    delays: fc.array(fc.integer({ min: 1, max: 1_500 }), { maxLength: 4 }),
  })
  .map(({ seed, times, troubles, delays }) => ({
    seed,
    troubles,
    changes: [...times, ...delays.map((delay) => troubles[0]!.from + delay)].toSorted(
      (a, b) => a - b,
    ),
  }));

/** Drills of the store, one or two after each other, and changes that come before, while and after. */
const DRILL_DAY = fc.record({
  seed: fc.nat(),
  changes: fc
    .array(TIME, { minLength: 1, maxLength: 5 })
    .map((times) => times.toSorted((a, b) => a - b)),
  drills: fc
    .array(
      fc.record({
        pause: fc.integer({ min: 1, max: 4_000 }),
        away: fc.integer({ min: 0, max: 2_500 }),
        copyAge: fc.integer({ min: 0, max: 3_000 }),
        otherVersions: fc.nat(6),
        rewriteAfter: fc.integer({ min: 1, max: 1_500 }),
      }),
      { minLength: 1, maxLength: 2 },
    )
    .map((list) => {
      let end = 0;
      return list.map(({ pause, away, ...rest }) => {
        const from = end + pause;
        end = from + away;
        return { ...rest, from, until: end };
      });
    }),
});

describe("rankHearers", () => {
  it("names the same boxes whatever the order in which they are known", () => {
    expect(rankStoreReaders(members.toReversed(), 3)).toEqual(
      rankStoreReaders(members, 3),
    );
    expect(rankStoreReaders(members, 3)).toHaveLength(3);
    expect(rankStoreReaders(members.slice(0, 1), 3)).toEqual(names.slice(0, 1));
  });

  it("keeps the others when one goes", () => {
    const [first, ...rest] = rankStoreReaders(members, 3);
    const left = members.filter(({ box }) => box !== first);
    expect(rankStoreReaders(left, 3).slice(0, 2)).toEqual(rest);
  });

  it("prefers boxes that can hand on more, and names more where there are many to tell", () => {
    const weak = names.map((box) => ({ box: `weak ${box}` as BoxName, capacity: 2 }));
    const strong = members.map(({ box }) => ({ box, capacity: 190 }));
    const hearers = rankStoreReaders([...weak, ...strong.slice(0, 10)], 2);
    expect(hearers).toHaveLength(2);
    expect(hearers.filter((box) => box.startsWith("weak"))).toEqual([]);
    const many = Array.from({ length: 400 }, (_, i) => toEqualMember(`b${i}` as BoxName));
    expect(rankStoreReaders(many, 2)).toHaveLength(4);
    // Also where a box is linked to a few of them only.
    expect(rankStoreReaders(many.slice(0, 6), 2, 400)).toHaveLength(4);
  });

  it("spreads those who ask over those who hear", () => {
    const hearers = rankStoreReaders(members, 2);
    const firsts = names.map((name) => rankForAsker(hearers, name)[0]);
    for (const hearer of hearers)
      expect(firsts.filter((first) => first === hearer).length).toBeGreaterThan(8);
  });
});

describe("boxes that hear the store through others", () => {
  it("never hold what they know for younger than it is (property)", async () => {
    await fc.assert(
      fc.asyncProperty(DAY, async (day) => {
        const world = createWorld({ ...day, boxes: BOXES });
        world.start();
        await world.runUntil(END_MS);
        world.stop();
        for (const { asOf, known, at } of world.claims) {
          expect(asOf).toBeLessThanOrEqual(at);
          expect(known).toBeGreaterThanOrEqual(world.countChangesAt(asOf));
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  }, 120_000);

  it("hear a change within the bound while others are frozen, cut off, slow or gone (property)", async () => {
    await fc.assert(
      fc.asyncProperty(DAY, async ({ seed, troubles, changes }) => {
        const last = changes.at(-1) ?? 0;
        const world = createWorld({ seed, boxes: BOXES, changes, troubles });
        world.start();
        await world.runUntil(last + BOUND_MS);
        world.stop();
        const troubled = new Set(troubles.map(({ box }) => box));
        const late = world.knownBy
          .map((known, box) => ({ known, box }))
          .filter(({ known, box }) => known < changes.length && !troubled.has(box));
        expect(late).toEqual([]);
      }),
      { seed: 12, numRuns: 400 },
    );
  }, 120_000);

  it("hear changes in quick succession in time from boxes behind narrow links (property)", async () => {
    const troubles = HEARERS.map((box) => ({
      kind: "narrow_link" as const,
      box,
      from: 2_000,
      until: END_MS,
    }));
    // From the guard on, a call to the store, there and back.
    const mostDelay = GUARD_MS + 50;
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.integer({ min: 3_500, max: 4_500 }),
        fc.integer({ min: 1, max: 400 }),
        async (seed, at, gap) => {
          const changes = [100, at, at + gap];
          const world = createWorld({ seed, boxes: BOXES, changes, troubles });
          world.start();
          await world.runUntil(at + gap + mostDelay);
          world.stop();
          expect(Math.min(...world.knownBy)).toBe(changes.length);
        },
      ),
      { seed: 14, numRuns: 150 },
    );
  });

  it("hear it through others also when the store turns away just them", async () => {
    await fc.assert(
      fc.asyncProperty(fc.nat(), fc.nat(BOXES - 1), async (seed, box) => {
        const cut: Trouble = { kind: "cut_from_store", box, from: 1_000, until: END_MS };
        const changes = [100, 4_000, 5_500, 7_000];
        const world = createWorld({ seed, boxes: BOXES, changes, troubles: [cut] });
        world.start();
        await world.runUntil(END_MS);
        world.stop();
        expect(world.knownBy[box]).toBe(changes.length);
        const heard = changes.map((at, i) => {
          const first = world.claims.find((one) => one.box === box && one.known > i);
          return first!.at - at;
        });
        expect(Math.max(...heard)).toBeLessThanOrEqual(BOUND_MS);
      }),
      { seed: 13, numRuns: 40 },
    );
  });

  it("know at their start what the others know while the store is away, for as old as it is", async () => {
    const changes = [100, 1_900];
    const troubles = Array.from({ length: BOXES }, (_, box) => ({
      kind: "cut_from_store" as const,
      box,
      from: 2_000,
      until: END_MS,
    }));
    const world = createWorld({ seed: 7, boxes: BOXES, changes, troubles });
    const late = BOXES - 1;
    for (let box = 0; box < late; box += 1) world.startOne(box);
    await world.runUntil(5_000);
    world.startOne(late);
    await world.runUntil(6_800);
    world.stop();
    expect(world.knownBy[late]).toBe(2);
    for (const { asOf } of world.claims.filter(({ box }) => box === late))
      expect(asOf).toBeLessThanOrEqual(2_005);
  });

  it.each([
    ["alone", fc.constant([])],
    [
      "beside boxes that are frozen, cut off, slow or gone",
      fc.array(TROUBLE, { minLength: 1, maxLength: 3 }),
    ],
  ])(
    "hear what is written again after the store came back from a copy, and lose nothing that they knew: %s (property)",
    async (_, someTroubles) => {
      await fc.assert(
        fc.asyncProperty(DRILL_DAY, someTroubles, async (day, troubles) => {
          const { seed, changes, drills } = day;
          const world = createWorld({ seed, boxes: BOXES, changes, troubles, drills });
          world.start();
          const rewritten = drills.map(({ until, rewriteAfter }) => until + rewriteAfter);
          await world.runUntil(Math.max(...changes, ...rewritten) + BOUND_MS);
          world.stop();
          const troubled = new Set(troubles.map(({ box }) => box));
          const behind = world.knownBy.filter(
            (known, box) => known < changes.length && !troubled.has(box),
          );
          expect(behind).toEqual([]);
          for (const { asOf, at } of world.claims) expect(asOf).toBeLessThanOrEqual(at);
        }),
        { seed: 15, numRuns: 300 },
      );
    },
    120_000,
  );

  it.each([7, 66, 300])(
    "read the store a few times each when it came back from a copy: %i boxes",
    async (boxes) => {
      const drill = {
        from: 3_000,
        until: 4_500,
        copyAge: 1_000,
        otherVersions: 0,
        rewriteAfter: 300,
      };
      const world = createWorld({
        seed: 4,
        boxes,
        changes: [100, 1_900, 2_500],
        troubles: [],
        drills: [drill],
        ...(boxes > 12 && { hubLinksUpAt: 300 }),
      });
      world.start();
      await world.runUntil(drill.until);
      const before = [...world.storeCalls];
      await world.runUntil(drill.until + 3_000);
      world.stop();
      expect(Math.min(...world.knownBy)).toBe(3);
      const calls = world.storeCalls.map((count, box) => count - before[box]!);
      expect(calls.reduce((sum, count) => sum + count, 0)).toBeLessThan(40 + boxes * 2);
    },
    60_000,
  );

  it("leave the calls to the store to two of them", async () => {
    const world = createWorld({ seed: 5, boxes: 12, changes: [50], troubles: [] });
    world.start();
    await world.runUntil(2_000);
    const before = [...world.storeCalls];
    await world.runUntil(12_000);
    world.stop();
    const calls = world.storeCalls.map((count, box) => count - before[box]!);
    expect(calls.filter((count) => count > 0)).toHaveLength(2);
    expect(calls.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(52);
    expect(Math.min(...world.knownBy)).toBe(1);
  });
});

describe.each([
  [6, 40],
  [66, 12],
  [473, 2],
])("%i boxes that are linked to hubs", (boxes, numRuns) => {
  const all = Array.from({ length: boxes }, (_, i) => `box-${i}` as BoxName);
  const carriers = rankByCapacity(all.map(toEqualMember))
    .slice(0, 3)
    .map((name) => all.indexOf(name));
  const HUB_DAY = fc.record({
    seed: fc.nat(),
    changes: fc
      .array(fc.integer({ min: 100, max: 5_000 }), { minLength: 1, maxLength: 3 })
      .map((times) => times.toSorted((a, b) => a - b)),
    troubles: fc.array(
      fc.record({
        kind: fc.constantFrom("frozen" as const, "gone" as const, "closed" as const),
        box: fc.constantFrom(...carriers),
        from: fc.integer({ min: 500, max: 5_000 }),
        until: fc.constant(20_000),
      }),
      { maxLength: 2 },
    ),
  });

  it("hear a change within the bound, for no younger than it is, whichever carriers are lost (property)", async () => {
    await fc.assert(
      fc.asyncProperty(HUB_DAY, async ({ seed, changes, troubles }) => {
        const world = createWorld({ seed, boxes, changes, troubles, hubLinksUpAt: 300 });
        world.start();
        await world.runUntil(changes.at(-1)! + BOUND_MS);
        world.stop();
        for (const { asOf, known } of world.claims)
          expect(known).toBeGreaterThanOrEqual(world.countChangesAt(asOf));
        const lost = new Set(troubles.map(({ box }) => box));
        const late = all.filter(
          (_, box) => world.knownBy[box]! < changes.length && !lost.has(box),
        );
        expect(late).toEqual([]);
      }),
      { seed: 21, numRuns },
    );
  }, 120_000);

  it("leave the store to one of the next carriers when it turns away those that hear it", async () => {
    const hearing = rankByCapacity(all.map(toEqualMember))
      .slice(0, countStoreReaders(boxes, 2))
      .map((name) => all.indexOf(name));
    const troubles = hearing.map((box) => ({
      kind: "cut_from_store" as const,
      box,
      from: 2_000,
      until: 20_000,
    }));
    const changes = [1_000, 9_000];
    const world = createWorld({
      seed: 2,
      boxes,
      changes,
      troubles,
      hubLinksUpAt: 300,
    });
    world.start();
    await world.runUntil(6_000);
    const before = [...world.storeCalls];
    await world.runUntil(11_000);
    world.stop();
    const late = all.filter((_, box) => world.knownBy[box]! < 2);
    expect(late).toEqual([]);
    const asking = world.storeCalls.filter(
      (calls, box) => calls - before[box]! > 3 && !hearing.includes(box),
    );
    expect(asking.length).toBeLessThanOrEqual(SECOND_LINE);
  }, 60_000);

  it("go on with another that hears the store when one of them is stopped", async () => {
    const [first] = carriers;
    const troubles = [
      { kind: "closed" as const, box: first!, from: 3_000, until: 20_000 },
    ];
    const world = createWorld({
      seed: 3,
      boxes,
      changes: [1_000, 4_500],
      troubles,
      hubLinksUpAt: 300,
    });
    world.start();
    await world.runUntil(2_900);
    const before = [...world.storeCalls];
    await world.runUntil(6_500);
    world.stop();
    expect(all.filter((_, box) => box !== first && world.knownBy[box]! < 2)).toEqual([]);
    const asking = world.storeCalls.filter((calls, box) => calls > before[box]!);
    expect(asking.length).toBe(countStoreReaders(boxes, 2));
  }, 60_000);

  it("ask the store once at the start, and then only the few that hear it", async () => {
    const changes = [1_000, 2_500];
    const world = createWorld({
      seed: 1,
      boxes,
      changes,
      troubles: [],
      hubLinksUpAt: 300,
    });
    world.start();
    await world.runUntil(5_000);
    world.stop();
    const asking = world.storeCalls.filter((calls) => calls > 1).length;
    expect(asking).toBe(countStoreReaders(boxes, 2));
  }, 60_000);
});
