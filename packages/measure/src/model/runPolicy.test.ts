/** Results of runPolicy are repeatable, and include every request under every fault. */
import { describe, expect, it } from "vitest";
import { generateArrivals } from "./arrivals.js";
import { PROFILES } from "./profiles.js";
import { POLICIES, runPolicy, type PolicyName } from "./runPolicy.js";
import { FAULTS, type Fault } from "./types.js";

const DURATION_MS = 20_000;
const BOX_COUNT = 3;

const run = (policy: PolicyName, faults: readonly Fault[]) => {
  const profile = PROFILES.turnos;
  const load = {
    profile,
    perSecond: 25,
    durationMs: DURATION_MS,
    boxes: BOX_COUNT,
    seed: 5,
  };
  const arrivals = generateArrivals(load);
  const drainMs = 20_000;
  const report = runPolicy({ ...load, policy, arrivals, drainMs, faults });
  return { arrivals, report };
};

describe("runPolicy", () => {
  it("returns the same results for the same seed", () => {
    expect(run("stairgauge", []).report).toEqual(run("stairgauge", []).report);
  });

  const cases = Object.keys(POLICIES).flatMap((policy) =>
    [[], ...FAULTS.map((fault) => [fault]), ["engine-death", "box-lost"] as const].map(
      (faults) => ({ policy: policy as PolicyName, faults: faults }),
    ),
  );

  it.each(cases)(
    "counts every request once with policy $policy and faults $faults",
    ({ policy, faults }) => {
      const { arrivals, report } = run(policy, faults);
      const { completed, refused, unfinished, lost } = report;
      expect(report.arrived).toBe(arrivals.length);
      expect(completed).toBeGreaterThan(0);
      expect(Math.min(refused, unfinished, lost)).toBeGreaterThanOrEqual(0);
      const tiers = Object.values(report.byTier);
      const sum = tiers.reduce(
        (total, tier) => total + tier.completed + tier.refused + tier.lost,
        0,
      );
      expect(sum + unfinished).toBe(arrivals.length);
      if (faults.length === 0) expect(lost).toBe(0);
    },
  );
});
