/** The load: servers that turn this box away and ask for rest look the least busy of all, since nothing is open there. */
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import { createTestPlacer, SERVICE, toServerId } from "./placing.testkit.js";

const PLAIN: Demand = { tier: 1, tokens: undefined };
const NONE: ReadonlySet<ServerId> = new Set();
const REST = 3_000 as Ms;
const [FIRST, SECOND, THIRD] = [0, 1, 2].map(toServerId) as [
  ServerId,
  ServerId,
  ServerId,
];

const setUp = () => {
  const site = createTestPlacer(3);
  const { placer, directory } = site;
  const find = (id: ServerId) => directory.find(id)!;
  const chooseMany = (choose = placer.choose) =>
    new Set(
      Array.from({ length: 50 }, () => {
        const decision = choose(SERVICE, PLAIN, NONE);
        return decision.kind === "placed" ? decision.server.entry.id : decision.reason;
      }),
    );
  return { ...site, find, chooseMany };
};

describe("a box before servers that rest", () => {
  it("places nothing there, and tells how many it passed over", () => {
    const { placer, rests, chooseMany } = setUp();
    rests.begin(FIRST, REST);
    expect(chooseMany()).toEqual(new Set([SECOND, THIRD]));
    expect(placer.choose(SERVICE, PLAIN, NONE)).toMatchObject({ resting: 1 });
  });

  it("refuses at once where all that are left rest, with the time until the first is back", () => {
    const { placer, rests } = setUp();
    rests.begin(FIRST, 8_000 as Ms);
    rests.begin(SECOND, REST);
    const decision = placer.choose(SERVICE, PLAIN, new Set([THIRD]));
    expect(decision).toMatchObject({ kind: "no_server", reason: "servers_resting" });
    const retryAfter = decision.kind === "no_server" ? decision.retryAfter : undefined;
    expect(retryAfter).toBeGreaterThanOrEqual(REST);
    expect(retryAfter).toBeLessThan(5_000);
  });

  it("refuses for limits where those that don't rest have had theirs", () => {
    const { placer, rests, limits } = setUp();
    rests.begin(FIRST, REST);
    for (const id of [SECOND, THIRD])
      limits.applySignal(id, { kind: "named", perSecond: 1 }, 20 as Ms);
    // A box that has no place in the list of boxes has no part of a limit.
    expect(placer.choose(SERVICE, PLAIN, NONE)).toMatchObject({
      reason: "servers_limited",
    });
  });

  it("chooses for another box as if nothing had been asked of it", () => {
    const { placer, rests, chooseMany } = setUp();
    rests.begin(FIRST, REST);
    expect(chooseMany(placer.chooseForOther)).toEqual(new Set([FIRST, SECOND, THIRD]));
  });

  it("sends no run there, and counts it as no target of a move", () => {
    const { placer, rests, find } = setUp();
    rests.begin(FIRST, REST);
    expect(placer.mayTakeWork(find(FIRST))).toBe(false);
    expect(placer.mayTakeRuns(find(FIRST))).toBe(false);
    expect(placer.mayTakeRuns(find(SECOND))).toBe(true);
    expect(placer.listTargets(find(THIRD)).map(({ server }) => server)).toEqual([SECOND]);
  });

  it("asks and goes on there twice in all", () => {
    const { placer, rests, find } = setUp();
    rests.begin(FIRST, REST);
    expect(placer.takeAsk(find(FIRST))).toBe(true);
    expect(placer.takeContinuation(find(FIRST))).toBe(true);
    expect(placer.takeAsk(find(FIRST))).toBe(false);
    expect(placer.takeContinuation(find(FIRST))).toBe(false);
    expect(placer.takeAsk(find(SECOND))).toBe(true);
  });

  it("comes back with one request at a time", () => {
    const { clock, placer, rests, find, chooseMany } = setUp();
    rests.begin(FIRST, REST);
    clock.advance((REST * 1.25) as Ms);
    expect(chooseMany()).toContain(FIRST);
    const head = { id: undefined } as Parameters<typeof placer.place>[1];
    const release = placer.place(find(FIRST), head, PLAIN);
    expect(chooseMany()).not.toContain(FIRST);
    release();
    expect(chooseMany()).toContain(FIRST);
  });
});
