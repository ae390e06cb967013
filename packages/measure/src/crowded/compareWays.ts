/** Compares ways of choosing engines on the same patterns and seeds. Pure. */
import { ENGINE_WAYS, type EngineWayName } from "@stairgauge/placement";
import { mean, standardDeviation } from "simple-statistics";
import { runPattern } from "./fleet.js";
import type { LoadOutcome, LoadPattern } from "./types.js";

/** How two ways differ on one pattern; shares of the worth that was asked for. */
export type WayDifference = Readonly<{
  pattern: string;
  /** Means over all seeds. */
  first: Readonly<Pick<LoadOutcome, "share" | "worstShare">>;
  second: Readonly<Pick<LoadOutcome, "share" | "worstShare">>;
  /** Mean gain of the second way in the whole play and in its worst windows, with the spread of that mean. */
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

/** Plays a pattern with both ways, once for each seed. */
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
