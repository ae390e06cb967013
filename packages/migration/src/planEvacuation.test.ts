import { describe, expect, it } from "vitest";
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import type { MoveTarget, PlacedRun } from "@stairgauge/placement";
import { listRunsToMove } from "./listRunsToMove.js";
import { planEvacuation } from "./planEvacuation.js";

const makePlaced = (id: string, changes: Partial<PlacedRun> = {}): PlacedRun => ({
  id,
  promptTokens: 3_000,
  expectedOut: 900,
  hasBegun: true,
  isMovable: true,
  ...changes,
});

const makeTarget = (server: string, changes: Partial<MoveTarget> = {}): MoveTarget => ({
  server: server as ServerId,
  takenTokens: 10_000,
  totalTokens: 34_000,
  isNear: false,
  ...changes,
});

describe("listRunsToMove", () => {
  it("leaves out runs that have not begun or that a new run may go on with", () => {
    const runs = listRunsToMove(
      [
        makePlaced("a"),
        makePlaced("b", { hasBegun: false }),
        makePlaced("c", { isMovable: false }),
      ],
      undefined,
    );
    expect(runs.map(({ id }) => id)).toEqual(["a"]);
  });

  it("puts small runs first and those that will end by themselves last, alike for any order of hearing", () => {
    const placed = [
      makePlaced("large", { promptTokens: 5_000 }),
      makePlaced("ending", { promptTokens: 1_000, expectedOut: 100 }),
      makePlaced("small", { promptTokens: 2_000 }),
    ];
    const order = ["small", "large", "ending"];
    expect(listRunsToMove(placed, undefined).map(({ id }) => id)).toEqual(order);
    expect(listRunsToMove(placed.toReversed(), undefined).map(({ id }) => id)).toEqual(
      order,
    );
  });

  it("takes sizes from the engine's report where it knows the run", () => {
    const report = {
      isLeaving: true,
      leavesIn: undefined,
      waiting: 0,
      firstWaitingTokens: 0,
      running: 1,
      memoryUsed: 0,
      memoryTotal: 34_000,
      runs: [{ id: "a", tokensInMemory: 3_200, eventsMade: 50 }],
    };
    expect(listRunsToMove([makePlaced("a")], report)).toEqual([
      { id: "a", tokensInMemory: 3_200, tokensLeft: 700 },
    ]);
  });
});

describe("planEvacuation", () => {
  const runs = ["a", "b", "c"].map((id) => ({
    id,
    tokensInMemory: 3_000,
    tokensLeft: 500,
  }));
  const noticedAt = 1_000 as Ms;

  it("spreads the runs over the targets instead of sending all to the emptiest", () => {
    const targets = [
      makeTarget("x", { takenTokens: 9_000 }),
      makeTarget("y"),
      makeTarget("z"),
    ];
    const plan = planEvacuation({ noticedAt, runs, targets });
    expect(runs.map(({ id }) => plan.planRun(id, 3_000).targets[0])).toEqual([
      "x",
      "y",
      "z",
    ]);
  });

  it("prefers a near target only while it has room", () => {
    const near = makeTarget("near", { isNear: true, takenTokens: 18_000 });
    const plan = planEvacuation({ noticedAt, runs, targets: [near, makeTarget("far")] });
    const firsts = runs.map(({ id }) => plan.planRun(id, 3_000).targets[0]);
    expect(firsts).toEqual(["near", "far", "far"]);
  });

  it("lets copies begin in order, and a run that begins late behind all of them", () => {
    const plan = planEvacuation({ noticedAt, runs, targets: [makeTarget("x")] });
    const starts = ["a", "b", "c", "late"].map((id) => plan.planRun(id, 2_000).copyAt);
    expect(starts).toEqual([1_000, 1_008, 1_016, 1_024]);
    expect(plan.planRun("late", 2_000).targets).toEqual(["x"]);
  });
});
