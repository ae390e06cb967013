/** Measures a probe at its sizes and fits a line. */
import {
  linearRegression,
  linearRegressionLine,
  median,
  rSquared,
} from "simple-statistics";
import type { SizedCost, Slope, SlopeProbe } from "./types.js";

const REPEATS = 5;
/** Below this share the growth is said not to be linear. */
const LINEAR_FROM = 0.95;
/** Growth that is small against the cost itself is flat, whatever its shape. */
const FLAT_BELOW = 0.25;

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

/** Measures the probe and fits its slope over the medians. */
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
  const isLinear = share >= LINEAR_FROM || growth < FLAT_BELOW;
  return { name, unit, sizes, perUnit: line.m, base: line.b, rSquared: share, isLinear };
};
