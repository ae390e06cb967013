/** A decayed mean of one measure, in logarithms. Pure. */
import { MAX_RECENT, MAX_SAMPLE_FACTOR, RECENT_QUANTILE } from "./constants.js";
import type { PaceSum } from "./types.js";

/** The mean of the samples of one measure. */
export type Track = Readonly<{
  logMean: number;
  /** Variance of the samples' logarithms; undefined if it is not known, as from another box. */
  logVariance?: number | undefined;
  /** Number of samples at `at`, decayed. */
  weight: number;
  /** Time of the newest sample. */
  at: number;
}>;

const MAX_STEP = Math.log(MAX_SAMPLE_FACTOR);

const limit = (value: number, bound: number): number =>
  Math.max(-bound, Math.min(bound, value));

/** Returns the standard error of the mean, in logarithms; 0 if it is not known. */
export const computeError = (
  { logVariance = 0 }: Pick<Track, "logVariance">,
  weight: number,
): number => Math.sqrt(logVariance / Math.max(1, weight));

/** Returns the weight at a time, after decay. */
export const computeWeight = (track: Track, now: number, halfLifeMs: number): number =>
  track.weight * 2 ** (-Math.max(0, now - track.at) / halfLifeMs);

/**
 * Adds samples to a mean. Each counts with a bounded distance from the mean so far, or from `prior`
 * if there is no mean.
 */
export const addToTrack = (
  track: Track | undefined,
  sum: PaceSum & Readonly<{ at: number }>,
  { halfLifeMs, prior }: Readonly<{ halfLifeMs: number; prior: number | undefined }>,
): Track => {
  const value = Math.log(sum.mean);
  const base = track?.logMean ?? prior ?? value;
  const at = Math.max(sum.at, track?.at ?? -Infinity);
  const before = track ? computeWeight(track, at, halfLifeMs) : 0;
  // Samples that arrive late have decayed like those that are on record.
  const added = sum.weight * 2 ** (-(at - sum.at) / halfLifeMs);
  const step = limit(value - base, MAX_STEP);
  const gain = added > 0 ? added / (before + added) : 0;
  // The mean of several samples differs from the mean so far by less than each of them does.
  const square = track ? step ** 2 * Math.max(1, sum.weight) : 0;
  const logVariance = (1 - gain) * ((track?.logVariance ?? 0) + gain * square);
  return { logMean: base + gain * step, logVariance, weight: before + added, at };
};

/** The newest samples of a measure whose outliers all lie above it. */
export type RecentSamples = readonly Readonly<{
  log: number;
  weight: number;
  at: number;
}>[];

/** Adds samples to the newest ones. */
export const addToRecent = (
  recent: RecentSamples,
  { mean, weight, at }: PaceSum & Readonly<{ at: number }>,
): RecentSamples =>
  [...recent, { log: Math.log(mean), weight: Math.min(weight, MAX_RECENT), at }].slice(
    -MAX_RECENT,
  );

/** Returns a low quantile of the newest samples, as a track. */
export const toTrack = (recent: RecentSamples, halfLifeMs: number): Track | undefined => {
  const newest = recent.at(-1);
  if (!newest) return undefined;
  const sorted = recent.map(({ log }) => log).sort((a, b) => a - b);
  const weight = recent.reduce(
    (sum, sample) =>
      sum + computeWeight({ ...sample, logMean: 0 }, newest.at, halfLifeMs),
    0,
  );
  const findQuantile = (share: number) =>
    sorted[Math.floor((sorted.length - 1) * share)]!;
  const logMean = findQuantile(RECENT_QUANTILE);
  // Outliers lie above the quantile only, so the spread is that of the samples around it.
  const logVariance = (findQuantile(2 * RECENT_QUANTILE) - sorted[0]!) ** 2;
  return { logMean, logVariance, weight, at: newest.at };
};

/** Adds a value to the geometric mean of some values. */
export const addToSum = (sum: PaceSum | undefined, added: PaceSum): PaceSum => {
  if (!sum) return added;
  const weight = sum.weight + added.weight;
  const logMean =
    (sum.weight * Math.log(sum.mean) + added.weight * Math.log(added.mean)) / weight;
  return { weight, mean: Math.exp(logMean) };
};
