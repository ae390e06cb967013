/** Simulates a traffic profile under every policy. */
import { generateArrivals } from "./arrivals.js";
import { PROFILES } from "./profiles.js";
import { POLICIES, runPolicy, type PolicyName } from "./runPolicy.js";
import type { PolicyReport } from "./statistics.js";
import type { Fault } from "./types.js";

const MS_PER_SECOND = 1_000;
const DURATION_MS = 240_000;
const DRAIN_MS = 60_000;

/** Load for measuring the capacity: far more than any site can serve. */
const CAPACITY_SEED = 1_000_003;
const CAPACITY_DURATION_MS = 120_000;
const CAPACITY_OFFERED_PER_SECOND = 120;

/** Options of a measurement. */
export type MeasureOptions = Readonly<{
  profile: keyof typeof PROFILES;
  seed: number;
  /** Offered load as a share of the capacity. */
  load: number;
  boxes: number;
  faults: readonly Fault[];
}>;

/** Results of every policy under the same arrivals. */
export type MeasureReport = Readonly<{
  profile: string;
  seed: number;
  load: number;
  boxes: number;
  faults: readonly Fault[];
  capacityPerSecond: number;
  offeredPerSecond: number;
  policies: Readonly<Record<PolicyName, PolicyReport>>;
}>;

/**
 * Returns the requests per second that the engines complete when lengths are known and requests always wait. Completed
 * requests have the same mix as arrived ones only if no tier starves, so all ranks are made equal.
 */
const measureCapacity = (name: keyof typeof PROFILES): number => {
  const base = PROFILES[name];
  const tiers = base.tiers.map((tier) => ({ ...tier, rank: 0 }));
  const kinds = base.kinds.map((one) => ({ ...one, rate: () => 1 }));
  const profile = { ...base, tiers, kinds };
  const arrivals = generateArrivals({
    profile,
    perSecond: CAPACITY_OFFERED_PER_SECOND,
    durationMs: CAPACITY_DURATION_MS,
    boxes: 1,
    seed: CAPACITY_SEED,
  });
  const report = runPolicy({
    policy: "clairvoyant",
    profile,
    arrivals,
    durationMs: CAPACITY_DURATION_MS,
    drainMs: 0,
    boxes: 1,
    seed: CAPACITY_SEED,
    faults: [],
  });
  return report.completed / (CAPACITY_DURATION_MS / MS_PER_SECOND);
};

/** Measures every policy under the same arrivals. The same options give the same results. */
export const measureProfile = (options: MeasureOptions): MeasureReport => {
  const { seed, load, boxes, faults } = options;
  const profile = PROFILES[options.profile];
  const capacity = measureCapacity(options.profile);
  const perSecond = capacity * load;
  const durationMs = DURATION_MS;
  const arrivals = generateArrivals({ profile, perSecond, durationMs, boxes, seed });
  const run = (policy: PolicyName) =>
    runPolicy({
      policy,
      profile,
      arrivals,
      durationMs,
      drainMs: DRAIN_MS,
      boxes,
      seed,
      faults,
    });
  const names = Object.keys(POLICIES) as PolicyName[];
  const reports = names.map((policy) => [policy, run(policy)] as const);
  return {
    profile: profile.name,
    seed,
    load,
    boxes,
    faults,
    capacityPerSecond: Number(capacity.toFixed(3)),
    offeredPerSecond: Number(perSecond.toFixed(3)),
    policies: Object.fromEntries(reports) as Record<PolicyName, PolicyReport>,
  };
};
