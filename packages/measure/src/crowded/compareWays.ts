/** Compares two ways of choosing engines on the same load pattern and seeds. Pure. */
import { ENGINE_WAYS, type EngineWayName } from "@stairgauge/placement";
import { mean, standardDeviation } from "simple-statistics";
import { runPattern } from "./fleet.js";
import type { LoadOutcome, LoadPattern } from "./types.js";

/** Results of two ways on one pattern, as shares of the worth of all requests. */
export type WayDifference = Readonly<{
  pattern: string;
  /** Mean shares over all seeds, for each way. */
  first: Readonly<Pick<LoadOutcome, "share" | "worstShare">>;
  second: Readonly<Pick<LoadOutcome, "share" | "worstShare">>;
  /** Mean gain of the second way over the first, with the standard error, in the whole run and in its worst windows. */
  gain: number;
  gainSpread: number;
  worstGain: number;
  worstGainSpread: number;
}>;

const computeMeans = (outcomes: readonly LoadOutcome[]) => ({
  share: mean(outcomes.map(({ share }) => share)),
  worstShare: mean(outcomes.map(({ worstShare }) => worstShare)),
});

const computeGain = (gains: readonly number[]) => ({
  gain: mean([...gains]),
  spread: standardDeviation([...gains]) / Math.sqrt(gains.length),
});

/** Runs the pattern with both ways, once for each seed. */
export const compareWays = (
  pattern: LoadPattern,
  names: readonly [EngineWayName, EngineWayName],
  seeds: readonly number[],
): WayDifference => {
  const [first, second] = names.map((name) =>
    seeds.map((seed) => runPattern(pattern, ENGINE_WAYS[name], seed)),
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
