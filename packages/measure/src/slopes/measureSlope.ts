/** Measures the cost of a probe at several sizes and fits a line. */
import {
  linearRegression,
  linearRegressionLine,
  median,
  rSquared,
} from "simple-statistics";
import type { SizedCost, Slope, SlopeProbe } from "./types.js";

const REPEATS = 5;
/** Minimum r² for growth to count as linear. */
const MIN_LINEAR_R_SQUARED = 0.95;
/** Growth below this share of the highest cost counts as linear, whatever its shape. */
const MAX_FLAT_GROWTH = 0.25;

const measureSize = async (probe: SlopeProbe, size: number): Promise<SizedCost> => {
  const costs: number[] = [];
  for (let repeat = 0; repeat < REPEATS; repeat += 1)
    costs.push(await probe.measure(size));
  return {
    size,
    median: median(costs),
    low: Math.min(...costs),
    high: Math.max(...costs),
  };
};

/** Measures the probe at each size, after one warm-up run, and fits a line through the medians. */
export const measureSlope = async (probe: SlopeProbe): Promise<Slope> => {
  await probe.measure(probe.sizes[0] ?? 1);
  const sizes: SizedCost[] = [];
  for (const size of probe.sizes) sizes.push(await measureSize(probe, size));
  const points = sizes.map(({ size, median: cost }) => [size, cost]);
  const line = linearRegression(points);
  const share = rSquared(points, linearRegressionLine(line));
  const costs = sizes.map((one) => one.median);
  const growth = (Math.max(...costs) - Math.min(...costs)) / Math.max(...costs);
  const { name, unit } = probe;
  const isLinear = share >= MIN_LINEAR_R_SQUARED || growth < MAX_FLAT_GROWTH;
  return { name, unit, sizes, perUnit: line.m, base: line.b, rSquared: share, isLinear };
};
