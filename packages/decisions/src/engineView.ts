/**
 * One engine as this box sees it, from the engine's bundle entry, its last load report, and the streams
 * that this box has placed on it.
 */
import type { EngineServer } from "@stairgauge/bundle";
import type { Ms, RequestId } from "@stairgauge/common";
import {
  LEAVING_REFUSAL_MS,
  PREFILL_DECAY_MS,
  REPORT_LAG_MS,
  REPORT_STALE_MS,
} from "./constants.js";
import {
  addForecast,
  computeForecast,
  createForecast,
  HORIZONS,
  type Forecast,
  type ForecastStream,
} from "./memoryForecast.js";
import type { ReportedLoad } from "./types.js";

/** A stream that this box has placed on the engine. */
type OwnStream = Readonly<{ stream: ForecastStream; forecast: Forecast }>;

type Report = Readonly<{
  load: ReportedLoad;
  /** When the report arrived. */
  at: Ms;
  /** Memory of this box's own streams when the report arrived, tokens. */
  ownTokens: number;
  /** Number of this box's own streams when the report arrived. */
  ownStreams: number;
}>;

/** Over all engines: expected growth of this box's streams, and how many streams other boxes have. */
export type BoxSummary = Readonly<{
  /** Expected memory of this box's streams at each horizon, divided by their memory now. */
  growth: Float64Array;
  /** Variance of that memory at each horizon, divided by the memory now. */
  spread: Float64Array;
  /** Streams of other boxes per stream of this box. */
  othersPerOwn: number;
  /** Estimate of the prompt tokens that other boxes place on each engine per millisecond. */
  othersTokensPerMs: number;
}>;

/** One engine as this box sees it. */
export type EngineView = ReturnType<typeof createEngineView>;

/** Creates the view of an engine that has sent no report and has no streams of this box. */
export const createEngineView = (server: EngineServer) => {
  /** Streams that this box has placed on the engine. */
  const own = new Map<RequestId, OwnStream>();
  /** Sum of the forecasts of `own`. */
  const sum = createForecast();
  let report: Report | undefined;
  /** Each source has its own leaving flag, so that a source without one does not clear another's. */
  let isListedLeaving = false;
  let isReportedLeaving = false;
  let refusedLeavingAt = Number.NEGATIVE_INFINITY;
  let ejectedUntil = 0;
  /** Prompt tokens that the engine still had to compute at `prefillAt`, estimated. */
  let prefillTokens = 0;
  let prefillAt = 0;

  const computePrefill = (now: Ms): number => {
    const shareLeft = Math.max(0, 1 - (now - prefillAt) / PREFILL_DECAY_MS);
    return prefillTokens * shareLeft;
  };
  const remove = (id: RequestId) => {
    const removed = own.get(id);
    if (!removed) return;
    own.delete(id);
    addForecast(sum, removed.forecast, -1);
  };
  const put = (id: RequestId, stream: ForecastStream) => {
    remove(id);
    const forecast = computeForecast(stream);
    own.set(id, { stream, forecast });
    addForecast(sum, forecast, 1);
  };
  /** Memory and streams of other boxes by the last report, and the report's age; 0 if it is too old. */
  const getOthers = (now: Ms) => {
    if (!report || now - report.at > REPORT_STALE_MS)
      return { tokens: 0, streams: 0, age: 0 };
    const { load, ownTokens, ownStreams } = report;
    return {
      tokens: Math.max(0, load.usedTokens - ownTokens),
      age: now - report.at + REPORT_LAG_MS,
      streams: Math.max(0, load.running + load.waiting - ownStreams),
    };
  };

  return {
    server,
    remove,
    /** Adds a stream that is placed now; the engine still has to compute its prompt. */
    place: (id: RequestId, stream: ForecastStream, now: Ms) => {
      prefillTokens = computePrefill(now) + stream.promptTokens;
      prefillAt = now;
      put(id, stream);
    },
    recordProgress: (id: RequestId, generatedTokens: number) => {
      const existing = own.get(id);
      if (existing) put(id, { ...existing.stream, generatedTokens });
    },
    countOwn: () => own.size,
    getOwnForecast: (): Forecast => sum,
    countOthers: (now: Ms): number => getOthers(now).streams,
    recordReport: (load: ReportedLoad, now: Ms) => {
      report = { load, at: now, ownTokens: sum.mean[0]!, ownStreams: own.size };
      isReportedLeaving = load.isLeaving;
    },
    setListedLeaving: (value: boolean) => {
      isListedLeaving = value;
    },
    /** Records that the engine refused a request because it is leaving. */
    recordLeavingRefusal: (now: Ms) => {
      refusedLeavingAt = now;
    },
    isLeaving: (now: Ms): boolean =>
      isListedLeaving || isReportedLeaving || now - refusedLeavingAt < LEAVING_REFUSAL_MS,
    eject: (until: Ms) => {
      ejectedUntil = until;
    },
    isEjected: (now: Ms) => now < ejectedUntil,
    /**
     * Forecasts the free memory with one more stream, in tokens, at the horizon where it is lowest.
     * `caution` standard deviations are kept free. Negative if the stream does not fit.
     */
    computeFreeTokens: (options: {
      readonly candidate: Forecast;
      readonly summary: BoxSummary;
      readonly caution: number;
      readonly now: Ms;
    }): number => {
      const { candidate, summary, caution } = options;
      const others = getOthers(options.now);
      const unreported = summary.othersTokensPerMs * others.age;
      const othersTokens = others.tokens + unreported;
      let freeTokens = Number.POSITIVE_INFINITY;
      for (let h = 0; h < HORIZONS.length; h += 1) {
        const mean =
          sum.mean[h]! + candidate.mean[h]! + othersTokens * summary.growth[h]!;
        const variance =
          sum.variance[h]! + candidate.variance[h]! + othersTokens * summary.spread[h]!;
        freeTokens = Math.min(
          freeTokens,
          server.memoryTokens - mean - caution * Math.sqrt(variance),
        );
      }
      return Math.floor(freeTokens);
    },
    hasSlot: (now: Ms): boolean => own.size + getOthers(now).streams < server.maxRunning,
    /** Estimates the engine's load in streams; `tokensPerStream` prompt tokens count as one stream. */
    computeBusyness: (options: {
      readonly summary: BoxSummary;
      readonly tokensPerStream: number;
      readonly now: Ms;
    }): number => {
      const { summary, now } = options;
      const prefill = computePrefill(now) / options.tokensPerStream;
      return (own.size + prefill) * (1 + summary.othersPerOwn);
    },
  };
};
