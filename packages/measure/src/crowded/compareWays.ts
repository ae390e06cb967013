/** Compares two ways of choosing engines on the same load pattern and seeds. Pure. */
import { ENGINE_WAYS, type EngineWayName } from "@stairgauge/placement";
import { mean, standardDeviation } from "simple-statistics";
import { runPattern, type PlacementVariant } from "./fleet.js";
import type { LoadOutcome, LoadPattern } from "./types.js";

type Results = Readonly<{
  share: number;
  worstShare: number;
  /** Mean number of runs, over all kinds, with a late first event, and with a pause that was too long. */
  lateFirst: number;
  latePause: number;
}>;

/** Results of two ways on one pattern, as shares of the worth of all requests. */
export type WayDifference = Readonly<{
  pattern: string;
  /** Mean shares over all seeds, for each way. */
  first: Results;
  second: Results;
  /** Mean gain of the second way over the first, with the standard error, in the whole run and in its worst windows. */
  gain: number;
  gainSpread: number;
  worstGain: number;
  worstGainSpread: number;
}>;

const sumKinds = (outcome: LoadOutcome, field: "lateFirst" | "latePause"): number =>
  outcome.kinds.reduce((sum, kind) => sum + kind[field], 0);

const computeMeans = (outcomes: readonly LoadOutcome[]): Results => ({
  lateFirst: mean(outcomes.map((outcome) => sumKinds(outcome, "lateFirst"))),
  latePause: mean(outcomes.map((outcome) => sumKinds(outcome, "latePause"))),
  share: mean(outcomes.map(({ share }) => share)),
  worstShare: mean(outcomes.map(({ worstShare }) => worstShare)),
});

const computeGain = (gains: readonly number[]) => ({
  gain: mean([...gains]),
  spread: standardDeviation([...gains]) / Math.sqrt(gains.length),
});

type Variant = Omit<PlacementVariant, "seed">;

const compareVariants = (
  pattern: LoadPattern,
  variants: readonly [Variant, Variant],
  seeds: readonly number[],
): WayDifference => {
  const [first, second] = variants.map((variant) =>
    seeds.map((seed) => runPattern(pattern, { ...variant, seed })),
  );
  const whole = computeGain(first!.map((one, i) => second![i]!.share - one.share));
  const worst = computeGain(
    first!.map((one, i) => second![i]!.worstShare - one.worstShare),
  );
  return {
    pattern: pattern.name,
    first: computeMeans(first!),
    second: computeMeans(second!),
    gain: whole.gain,
    gainSpread: whole.spread,
    worstGain: worst.gain,
    worstGainSpread: worst.spread,
  };
};

/** Runs the pattern with both ways, once for each seed. */
export const compareWays = (
  pattern: LoadPattern,
  names: readonly [EngineWayName, EngineWayName],
  seeds: readonly number[],
): WayDifference => {
  const [first, second] = names.map((name) => ({ way: ENGINE_WAYS[name] }));
  return compareVariants(pattern, [first!, second!], seeds);
};

/** Runs the pattern without and with the engines' service times, once for each seed. */
export const comparePace = (
  pattern: LoadPattern,
  name: EngineWayName,
  seeds: readonly number[],
): WayDifference => {
  const way = ENGINE_WAYS[name];
  return compareVariants(pattern, [{ way }, { way, withPace: true }], seeds);
};
