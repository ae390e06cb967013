/**
 * Forecasts the memory that streams use on an engine: mean and variance at several horizons. A horizon
 * is a number of decoding steps; in each step a running stream grows by one token.
 */
import { computeSurvival, type SurvivalCurve } from "./lengthEstimator.js";

/** Horizons of the forecast, decoding steps from now. */
export const HORIZONS = [0, 16, 64, 160, 400, 1_000, 2_500] as const;

/** Mean and variance of the memory in use at each horizon, in tokens. */
export type Forecast = Readonly<{ mean: Float64Array; variance: Float64Array }>;

/** What the forecast needs of a stream. */
export type ForecastStream = Readonly<{
  promptTokens: number;
  generatedTokens: number;
  maxOutputTokens: number;
  /** Distribution of the answer's length. */
  curve: SurvivalCurve;
}>;

/** Creates a forecast of zero. */
export const createForecast = (): Forecast => ({
  mean: new Float64Array(HORIZONS.length),
  variance: new Float64Array(HORIZONS.length),
});

/** Forecasts the memory of one stream. */
export const computeForecast = (stream: ForecastStream): Forecast => {
  const { promptTokens, generatedTokens, maxOutputTokens, curve } = stream;
  const forecast = createForecast();
  const survivedSoFar = Math.max(1e-6, computeSurvival(curve, generatedTokens));
  HORIZONS.forEach((steps, h) => {
    const length = generatedTokens + steps;
    const isPossible = length <= maxOutputTokens;
    const survival = computeSurvival(curve, length) / survivedSoFar;
    const probability = steps === 0 ? 1 : isPossible ? Math.min(1, survival) : 0;
    const tokens = promptTokens + length;
    forecast.mean[h] = probability * tokens;
    forecast.variance[h] = probability * (1 - probability) * tokens * tokens;
  });
  return forecast;
};

/** Adds a forecast to a sum (`sign` 1) or subtracts it (`sign` -1), in place. */
export const addForecast = (sum: Forecast, one: Forecast, sign: 1 | -1): void => {
  for (let h = 0; h < HORIZONS.length; h += 1) {
    sum.mean[h]! += sign * one.mean[h]!;
    sum.variance[h]! += sign * one.variance[h]!;
  }
};
