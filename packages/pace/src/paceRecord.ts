/** What is on record of one server's service times, and how samples are added to it. Pure. */
import { assertNever, type ServiceName } from "@stairgauge/common";
import { GAP_HALF_LIFE_MS, HALF_LIFE_MS, MAX_GAP_FACTOR } from "./constants.js";
import {
  addToRecent,
  addToSum,
  addToTrack,
  toTrack,
  type RecentSamples,
  type Track,
} from "./track.js";
import type { GapSum, PaceMeasure, PaceSample, PaceSum, SharedPace } from "./types.js";

/** Sums of some samples, as they are kept until the next message. */
export type PaceSums = Omit<SharedPace, "server" | "service" | "age">;

/** Decayed gaps between events. */
export type GapRecord = GapSum & Readonly<{ at: number }>;

/** The record of one server. */
export type PaceRecord = Readonly<{
  service: ServiceName;
  tracks: Readonly<Partial<Record<PaceMeasure, Track>>>;
  /** The samples behind the track `reading`. */
  readings: RecentSamples;
  gaps: GapRecord | undefined;
  /** When the engine was last seen in a slow period. */
  slowAt: number | undefined;
  /** Time of the newest sample of any measure. */
  at: number;
}>;

export const MEASURES: readonly PaceMeasure[] = ["answer", "reading", "event"];

/** Converts a sample to sums; undefined if it contains no usable time. */
export const toSums = (sample: PaceSample): PaceSums | undefined => {
  const toSum = (mean: number): PaceSum | undefined =>
    mean > 0 && Number.isFinite(mean) ? { weight: 1, mean } : undefined;
  switch (sample.kind) {
    case "answer": {
      // Beyond its slots a server works on several requests in turn.
      const inTurn = Math.max(1, (sample.requestsThere + 1) / Math.max(1, sample.slots));
      const answer = toSum(sample.tookMs / inTurn);
      return answer && { answer };
    }
    case "first_event": {
      const reading = toSum(
        sample.tookMs / Math.max(1, sample.promptTokens + sample.aheadTokens),
      );
      return reading && { reading };
    }
    case "events": {
      const { gaps, aboveTarget, longestMs } = sample;
      const event = toSum(sample.meanMs);
      return event && { event, gaps: { gaps, aboveTarget, longestMs } };
    }
    default:
      return assertNever(sample);
  }
};

/** Adds sums, as for one message. */
export const mergeSums = (sums: PaceSums | undefined, added: PaceSums): PaceSums => {
  if (!sums) return added;
  const merge = (measure: PaceMeasure) => {
    const more = added[measure];
    return more ? addToSum(sums[measure], more) : sums[measure];
  };
  const [one, other] = [sums.gaps, added.gaps];
  return {
    answer: merge("answer"),
    reading: merge("reading"),
    event: merge("event"),
    isSlow: sums.isSlow || added.isSlow,
    gaps:
      one && other
        ? {
            gaps: one.gaps + other.gaps,
            aboveTarget: one.aboveTarget + other.aboveTarget,
            longestMs: Math.max(one.longestMs, other.longestMs),
          }
        : (one ?? other),
  };
};

/** Returns the gaps as they count at a time: old ones weigh less, and the longest falls to the mean. */
export const computeGaps = (
  gaps: GapRecord,
  now: number,
  meanMs: number | undefined,
): GapRecord => {
  const factor = 2 ** (-Math.max(0, now - gaps.at) / GAP_HALF_LIFE_MS);
  const floor = Math.min(meanMs ?? 0, gaps.longestMs);
  return {
    gaps: gaps.gaps * factor,
    aboveTarget: gaps.aboveTarget * factor,
    longestMs: floor + (gaps.longestMs - floor) * factor,
    at: now,
  };
};

const addGaps = (
  record: PaceRecord | undefined,
  added: GapSum,
  at: number,
): GapRecord => {
  const event = record?.tracks.event;
  const most = event ? MAX_GAP_FACTOR * Math.exp(event.logMean) : Infinity;
  const longestMs = Math.min(added.longestMs, most);
  if (!record?.gaps) return { ...added, longestMs, at };
  const newest = Math.max(at, record.gaps.at);
  const before = computeGaps(record.gaps, newest, event && Math.exp(event.logMean));
  return {
    gaps: before.gaps + added.gaps,
    aboveTarget: before.aboveTarget + added.aboveTarget,
    longestMs: Math.max(before.longestMs, longestMs),
    at: newest,
  };
};

/** Adds sums to a server's record; `findPrior` returns the logarithm of the service's median. */
export const addSums = (
  record: PaceRecord | undefined,
  sums: PaceSums,
  {
    service,
    at,
    findPrior,
  }: Readonly<{
    service: ServiceName;
    at: number;
    findPrior: (measure: PaceMeasure) => number | undefined;
  }>,
): PaceRecord => {
  const tracks: Partial<Record<PaceMeasure, Track>> = { ...record?.tracks };
  for (const measure of ["answer", "event"] as const) {
    const sum = sums[measure];
    if (!sum) continue;
    const prior = tracks[measure] ? undefined : findPrior(measure);
    const halfLifeMs = HALF_LIFE_MS[measure];
    tracks[measure] = addToTrack(tracks[measure], { ...sum, at }, { halfLifeMs, prior });
  }
  const known = record?.readings ?? [];
  const readings = sums.reading ? addToRecent(known, { ...sums.reading, at }) : known;
  const reading = toTrack(readings, HALF_LIFE_MS.reading);
  if (reading) tracks.reading = reading;
  return {
    readings,
    service,
    tracks,
    gaps: sums.gaps ? addGaps(record, sums.gaps, at) : record?.gaps,
    slowAt: sums.isSlow ? Math.max(at, record?.slowAt ?? -Infinity) : record?.slowAt,
    at: Math.max(at, record?.at ?? -Infinity),
  };
};
