/** Computes the service times of one service from what is on record of its servers. Pure. */
import type { ServerId } from "@stairgauge/directory";
import {
  CHANCE_ERRORS,
  EVEN_FACTOR,
  HALF_LIFE_MS,
  MAX_DEVIATION,
  MIN_WEIGHT,
  UNEVEN_FACTOR,
} from "./constants.js";
import { computeGaps, MEASURES, type PaceRecord } from "./paceRecord.js";
import { computeError, computeWeight, type Track } from "./track.js";
import type { MeasureEstimate, PaceEstimate, PaceMeasure, ServicePace } from "./types.js";

type Weighted = Readonly<{ track: Track; weight: number }>;

/** Quantile of the engines' longest gaps, each relative to its own speed, that an engine has to expect. */
const LONGEST_QUANTILE = 0.75;

const computeMedian = (sorted: readonly number[]): number => {
  const middle = sorted.length >> 1;
  return sorted.length % 2 === 1
    ? sorted[middle]!
    : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

const findLogMedian = (weighted: Iterable<Weighted>): number | undefined => {
  const logs = [...weighted].map(({ track }) => track.logMean).sort((a, b) => a - b);
  return logs.length > 0 ? computeMedian(logs) : undefined;
};

const limitDeviation = (logMean: number, median: number): number => {
  const most = Math.log(MAX_DEVIATION);
  return Math.max(-most, Math.min(most, logMean - median));
};

/** Returns the estimate: the median where there is no weight, and nearly the mean where there is much. */
const toEstimate = (
  weighted: Weighted | undefined,
  median: number | undefined,
  now: number,
): MeasureEstimate | undefined => {
  if (median === undefined) return undefined;
  if (!weighted) return { value: Math.exp(median), weight: 0, ageMs: undefined };
  const { track, weight } = weighted;
  const deviation = limitDeviation(track.logMean, median) * (weight / (weight + 1));
  return { value: Math.exp(median + deviation), weight, ageMs: now - track.at };
};

/** Returns the largest over the smallest service time of servers with enough weight, beyond chance. */
const computeSureSpread = (weighted: readonly Weighted[]): number => {
  const known = weighted.filter(({ weight }) => weight >= MIN_WEIGHT);
  if (known.length < 2) return 1;
  const computeMargin = ({ track, weight }: Weighted) =>
    CHANCE_ERRORS * computeError(track, weight);
  const slowest = Math.max(...known.map((one) => one.track.logMean - computeMargin(one)));
  const fastest = Math.min(...known.map((one) => one.track.logMean + computeMargin(one)));
  return Math.exp(slowest - fastest);
};

/** Returns the largest over the smallest service time as estimated. */
const computeEstimatedSpread = (
  weighted: readonly Weighted[],
  median: number | undefined,
): number => {
  if (median === undefined || weighted.length < 2) return 1;
  const logs = weighted.map(
    ({ track, weight }) =>
      limitDeviation(track.logMean, median) * (weight / (weight + 1)),
  );
  return Math.exp(Math.max(...logs) - Math.min(...logs));
};

/** Returns the longest gap that an engine of median speed has to expect. */
const findLongestGap = (
  estimates: readonly PaceEstimate[],
  medianReading: number | undefined,
): number | undefined => {
  const gaps = estimates
    .flatMap(({ longestGapMs, reading }) =>
      longestGapMs === undefined || !reading || medianReading === undefined
        ? []
        : [longestGapMs / (reading.value / medianReading)],
    )
    .sort((a, b) => a - b);
  return gaps[Math.min(gaps.length - 1, Math.floor(gaps.length * LONGEST_QUANTILE))];
};

/** Computes the service times; `wasUneven` is the verdict of the computation before. */
export const computeServicePace = (
  records: ReadonlyMap<ServerId, PaceRecord>,
  now: number,
  wasUneven: boolean,
): ServicePace => {
  const byMeasure = new Map<PaceMeasure, Map<ServerId, Weighted>>();
  const medians = new Map<PaceMeasure, number | undefined>();
  for (const measure of MEASURES) {
    const weighted = new Map<ServerId, Weighted>();
    for (const [server, { tracks }] of records) {
      const track = tracks[measure];
      if (track)
        weighted.set(server, {
          track,
          weight: computeWeight(track, now, HALF_LIFE_MS[measure]),
        });
    }
    byMeasure.set(measure, weighted);
    medians.set(measure, findLogMedian(weighted.values()));
  }
  const findMedian = (measure: PaceMeasure) => {
    const median = medians.get(measure);
    return median === undefined ? undefined : Math.exp(median);
  };
  const estimate = (server: ServerId): PaceEstimate => {
    const [answer, reading, event] = MEASURES.map((measure) =>
      toEstimate(byMeasure.get(measure)?.get(server), medians.get(measure), now),
    );
    const record = records.get(server);
    const gaps = record?.gaps && computeGaps(record.gaps, now, event?.value);
    return {
      answer,
      reading,
      event,
      longestGapMs: gaps?.longestMs,
      shareAboveTarget: gaps && gaps.gaps > 0 ? gaps.aboveTarget / gaps.gaps : 0,
      slowAgoMs: record?.slowAt === undefined ? undefined : now - record.slowAt,
    };
  };
  const isUneven = (["answer", "reading"] as const).some((measure) => {
    const weighted = [...byMeasure.get(measure)!.values()];
    if (computeSureSpread(weighted) >= UNEVEN_FACTOR) return true;
    if (!wasUneven) return false;
    return computeEstimatedSpread(weighted, medians.get(measure)) >= EVEN_FACTOR;
  });
  return {
    isUneven,
    estimate,
    findMedian,
    longestGapMs: isUneven
      ? findLongestGap([...records.keys()].map(estimate), findMedian("reading"))
      : undefined,
  };
};
