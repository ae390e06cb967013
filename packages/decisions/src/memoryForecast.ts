/**
 * What a stream will hold of an engine's memory: the mean and the variance at some horizons, counted in
 * decoding steps, in each of which a stream that still runs gains one token.
 */
import { computeSurvival, type SurvivalCurve } from "./lengthEstimator.js";

/** Steps ahead at which memory is looked at. */
export const HORIZONS = [0, 16, 64, 160, 400, 1_000, 2_500] as const;

/** Mean and variance of held tokens at each horizon. */
export type Forecast = Readonly<{ mean: Float64Array; variance: Float64Array }>;

/** A stream as the forecast sees it. */
export type ForecastStream = Readonly<{
  promptTokens: number;
  generatedTokens: number;
  maxOutputTokens: number;
  curve: SurvivalCurve;
}>;

/** Creates a forecast of nothing. */
export const createForecast = (): Forecast => ({
  mean: new Float64Array(HORIZONS.length),
  variance: new Float64Array(HORIZONS.length),
});

/** Forecasts one stream. */
export const computeForecast = (stream: ForecastStream): Forecast => {
  const { promptTokens, generatedTokens, maxOutputTokens, curve } = stream;
  const forecast = createForecast();
  const survivedSoFar = Math.max(1e-6, computeSurvival(curve, generatedTokens));
  HORIZONS.forEach((steps, h) => {
    const length = generatedTokens + steps;
    const isPossible = length <= maxOutputTokens;
    const survives = computeSurvival(curve, length) / survivedSoFar;
    const chance = steps === 0 ? 1 : isPossible ? Math.min(1, survives) : 0;
    const held = promptTokens + length;
    forecast.mean[h] = chance * held;
    forecast.variance[h] = chance * (1 - chance) * held * held;
  });
  return forecast;
};

/** Adds (`sign` 1) or takes away (`sign` -1) one forecast to or from a sum, in place. */
export const addForecast = (sum: Forecast, one: Forecast, sign: 1 | -1): void => {
  for (let h = 0; h < HORIZONS.length; h += 1) {
    sum.mean[h]! += sign * one.mean[h]!;
    sum.variance[h]! += sign * one.variance[h]!;
  }
};
