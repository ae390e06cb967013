/** Arithmetic and text of the measurements of what a box costs. Pure. */
import type { Figures, FigureSummary } from "./types.js";

const MS_PER_SECOND = 1_000;

/** CPU time used between two readings. */
export type UsedTime = Readonly<{ cpuMs: number; elapsedMs: number }>;

/** Returns the CPU time of an idle second. */
export const computePerSecond = ({ cpuMs, elapsedMs }: UsedTime): number =>
  elapsedMs > 0 ? (cpuMs / elapsedMs) * MS_PER_SECOND : 0;

/** Returns the CPU time of one unit of work, without what the process would have used idle in the same time; not below 0. */
export const computePerUnit = (
  used: UsedTime,
  { units, idlePerSecond }: Readonly<{ units: number; idlePerSecond: number }>,
): number => {
  if (units <= 0) return 0;
  const idle = (used.elapsedMs / MS_PER_SECOND) * idlePerSecond;
  return Math.max(0, used.cpuMs - idle) / units;
};

const computeMedian = (sorted: readonly number[]): number => {
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? 0) + upper) / 2;
};

/** Sums up the figures of all repeats by name, in the order in which the names first occur. */
export const combineFigures = (repeats: readonly Figures[]): readonly FigureSummary[] => {
  const names = [...new Set(repeats.flatMap((figures) => Object.keys(figures)))];
  return names.map((name) => {
    const values = repeats
      .map((figures) => figures[name])
      .filter((value) => value !== undefined)
      .sort((a, b) => a - b);
    return {
      name,
      median: computeMedian(values),
      low: values[0] ?? 0,
      high: values.at(-1) ?? 0,
    };
  });
};

const format = (value: number): string => value.toFixed(value < 10 ? 2 : 0);

/** Formats one line of the output. */
export const formatSummary = ({ name, median, low, high }: FigureSummary): string =>
  `${name}: ${format(median)} (${format(low)} to ${format(high)})`;
