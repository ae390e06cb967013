/** The number of links stays limited at large sites, and all boxes choose the same hubs, whichever boxes are unreachable. */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type { BoxName, DataHallName } from "@stairgauge/common";
import { chooseLinks, countHubs, listHubs, MAX_LINKS } from "./hubs.js";
import { rankByCapacity } from "./rankStoreReaders.js";
import type { Member } from "./types.js";

const makeMembers = (count: number): readonly Member[] =>
  Array.from({ length: count }, (_, i) => ({
    box: `box-${i}` as BoxName,
    capacity: i % 3 === 0 ? 7 : 100 + (i % 5) * 20,
  }));

const isNone = () => false;

/** Links of every box when no box can reach the lost ones. */
const chooseAllLinks = (members: readonly Member[], lost: ReadonlySet<BoxName>) => {
  const ranked = rankByCapacity(members);
  const isFailing = (box: BoxName) => lost.has(box);
  return members.map(({ box }) =>
    chooseLinks({ own: box, ranked, isFailing, isAvoided: isNone }),
  );
};

describe("countHubs", () => {
  it.each([
    [1, 1],
    [6, 6],
    [12, 12],
    [13, 4],
    [66, 4],
    [195, 5],
    [473, 12],
    [1_000, 16],
  ])("returns for %i boxes %i hubs", (boxes, hubs) => {
    expect(countHubs(boxes)).toBe(hubs);
  });
});

describe("rankByCapacity", () => {
  const HALLS = ["a", "b", "c", "d"] as const;
  const placeInHalls = (members: readonly Member[], names: readonly string[]) =>
    members.map((member, i) => ({
      ...member,
      dataHall: names[Math.floor(i / 3) % names.length] as DataHallName,
    }));

  it("ranks a box of each data hall first, so that the loss of a hall leaves hubs and store readers (property)", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 13, max: 300 }),
        fc.integer({ min: 2, max: 4 }),
        (count, halls) => {
          const members = placeInHalls(makeMembers(count), HALLS.slice(0, halls));
          const hallOf = new Map(members.map(({ box, dataHall }) => [box, dataHall]));
          const first = rankByCapacity(members).slice(0, halls);
          expect(new Set(first.map((box) => hallOf.get(box))).size).toBe(halls);
        },
      ),
      { seed: 6, numRuns: 100 },
    );
  });

  it("returns the same order for members listed in another order", () => {
    const members = placeInHalls(makeMembers(64), HALLS);
    expect(rankByCapacity(members.toReversed())).toEqual(rankByCapacity(members));
  });

  it("ranks no weak box before a strong one of another data hall", () => {
    const weakHall = makeMembers(12).map((member, i) => ({
      ...member,
      capacity: i < 4 ? 7 : 100,
      dataHall: (i < 4 ? "weak" : "strong") as DataHallName,
    }));
    const weak = new Set(weakHall.slice(0, 4).map(({ box }) => box));
    expect(
      rankByCapacity(weakHall)
        .slice(0, 8)
        .some((box) => weak.has(box)),
    ).toBe(false);
  });
});

describe("chooseLinks", () => {
  it("links every box to every other at a small site", () => {
    for (const links of chooseAllLinks(makeMembers(6), new Set()))
      expect(links).toHaveLength(5);
  });

  it.each([66, 195, 473, 1_000])(
    "links each of %i boxes to the same few hubs, none of them weak, and to no other box",
    (count) => {
      const members = makeMembers(count);
      const linked = chooseAllLinks(members, new Set());
      const hubs = new Set(linked.flat());
      expect(hubs.size).toBe(countHubs(count));
      expect(Math.max(...linked.map((links) => links.length))).toBeLessThanOrEqual(
        MAX_LINKS,
      );
      for (const { box, capacity } of members)
        if (hubs.has(box)) expect(capacity).toBeGreaterThan(7);
    },
  );

  it("lets all remaining boxes reach the same hubs when others are lost (property)", () => {
    const members = makeMembers(66);
    const boxes = members.map(({ box }) => box);
    fc.assert(
      fc.property(fc.subarray(boxes, { maxLength: 40 }), (lostBoxes) => {
        const lost = new Set(lostBoxes);
        const ranked = rankByCapacity(members);
        const remaining = members.filter(({ box }) => !lost.has(box));
        // With many lost boxes, more links are needed than a box may open; avoided boxes free their links.
        const isAvoided = (box: BoxName) => lost.has(box);
        const views = remaining.map((own) => {
          const links = chooseLinks({
            own: own.box,
            ranked,
            isFailing: isNone,
            isAvoided,
          });
          expect(links.length).toBeLessThanOrEqual(MAX_LINKS);
          const reached = remaining.filter(({ box }) => links.includes(box));
          return listHubs([own, ...reached], members.length).join();
        });
        const hubs = rankByCapacity(remaining).slice(0, countHubs(members.length)).join();
        expect(new Set(views)).toEqual(new Set([hubs]));
      }),
      { seed: 5, numRuns: 100 },
    );
  });

  it("keeps a failing link and links to the next box in addition", () => {
    const members = makeMembers(66);
    const ranked = rankByCapacity(members);
    const own = ranked.at(-1)!;
    const [first] = ranked;
    const isFailing = (box: BoxName) => box === first;
    const links = chooseLinks({ own, ranked, isFailing, isAvoided: isNone });
    expect(links).toEqual(ranked.slice(0, 5));
  });
});
