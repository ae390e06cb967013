/**
 * Scenario: servers that refuse this box and ask for a backoff look the least busy of all, since
 * they have no open requests.
 */
import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { Demand } from "@stairgauge/placement";
import { createTestPlacer, SERVICE, toServerId } from "./placing.testkit.js";

const PLAIN: Demand = { tier: 1, tokens: undefined };
const NONE: ReadonlySet<ServerId> = new Set();
const BACKOFF = 3_000 as Ms;
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

describe("createPlacer with servers that asked for a backoff", () => {
  it("places nothing on them, and returns how many were skipped", () => {
    const { placer, backoffs, chooseMany } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    expect(chooseMany()).toEqual(new Set([SECOND, THIRD]));
    expect(placer.choose(SERVICE, PLAIN, NONE)).toMatchObject({ resting: 1 });
  });

  it("refuses at once if all remaining servers asked for a backoff, with the time until the first one ends", () => {
    const { placer, backoffs } = setUp();
    backoffs.begin(FIRST, 8_000 as Ms);
    backoffs.begin(SECOND, BACKOFF);
    const decision = placer.choose(SERVICE, PLAIN, new Set([THIRD]));
    expect(decision).toMatchObject({ kind: "no_server", reason: "servers_resting" });
    const retryAfter = decision.kind === "no_server" ? decision.retryAfter : undefined;
    expect(retryAfter).toBeGreaterThanOrEqual(BACKOFF);
    expect(retryAfter).toBeLessThan(5_000);
  });

  it("refuses with servers_limited if all other servers have reached their limits", () => {
    const { placer, backoffs, limits } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    for (const id of [SECOND, THIRD])
      limits.applySignal(id, { kind: "named", perSecond: 1 }, 20 as Ms);
    // A box without a position in the list of boxes has no part of a limit.
    expect(placer.choose(SERVICE, PLAIN, NONE)).toMatchObject({
      reason: "servers_limited",
    });
  });

  it("ignores backoffs when it chooses for another box", () => {
    const { placer, backoffs, chooseMany } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    expect(chooseMany(placer.chooseForOther)).toEqual(new Set([FIRST, SECOND, THIRD]));
  });

  it("sends no run there, and doesn't list it as a target of moves", () => {
    const { placer, backoffs, find } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    expect(placer.mayTakeWork(find(FIRST))).toBe(false);
    expect(placer.mayTakeRuns(find(FIRST))).toBe(false);
    expect(placer.mayTakeRuns(find(SECOND))).toBe(true);
    expect(placer.listTargets(find(THIRD)).map(({ server }) => server)).toEqual([SECOND]);
  });

  it("allows two calls in all during a backoff, status requests and continuations together", () => {
    const { placer, backoffs, find } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    expect(placer.takeAsk(find(FIRST))).toBe(true);
    expect(placer.takeContinuation(find(FIRST), undefined)).toBe(true);
    expect(placer.takeAsk(find(FIRST))).toBe(false);
    expect(placer.takeContinuation(find(FIRST), undefined)).toBe(false);
    expect(placer.takeAsk(find(SECOND))).toBe(true);
  });

  it("allows one request at a time after a backoff", () => {
    const { clock, placer, backoffs, find, chooseMany } = setUp();
    backoffs.begin(FIRST, BACKOFF);
    clock.advance((BACKOFF * 1.25) as Ms);
    expect(chooseMany()).toContain(FIRST);
    const head = { id: undefined } as Parameters<typeof placer.place>[1];
    const release = placer.place(find(FIRST), head, PLAIN);
    expect(chooseMany()).not.toContain(FIRST);
    release();
    expect(chooseMany()).toContain(FIRST);
  });
});
