/** What this box believes of one engine: the bundle's facts, a late report, and its own streams. */
import type { EngineServer } from "@stairgauge/bundle";
import type { Ms, RequestId } from "@stairgauge/common";
import {
  LEAVING_REFUSAL_MS,
  PREFILL_MEMORY_MS,
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

type OwnStream = Readonly<{ stream: ForecastStream; forecast: Forecast }>;

type Report = Readonly<{
  load: ReportedLoad;
  at: Ms;
  /** Memory and streams of this box's own when the report came. */
  ownTokens: number;
  ownStreams: number;
}>;

/** How own streams are expected to grow, and how many others there are for each: over all engines. */
export type BoxSummary = Readonly<{
  /** Own memory at each horizon, over own memory now. */
  growth: Float64Array;
  /** Variance at each horizon, over own memory now. */
  spread: Float64Array;
  /** Streams of other boxes for each own one. */
  othersPerOwn: number;
  /** Tokens of prompts that other boxes are held to place on each engine, a millisecond. */
  othersTokensPerMs: number;
}>;

/** The view of one engine. */
export type EngineView = ReturnType<typeof createEngineView>;

/** Creates the view of an engine of which nothing has been heard. */
export const createEngineView = (server: EngineServer) => {
  const own = new Map<RequestId, OwnStream>();
  const sum = createForecast();
  let report: Report | undefined;
  /** Marks by source: one source's silence does not take back another's mark. */
  let isListedLeaving = false;
  let isReportedLeaving = false;
  let refusedLeavingAt = Number.NEGATIVE_INFINITY;
  let ejectedUntil = 0;
  /** Prompt tokens sent lately, decayed: what the engine may still have to compute. */
  let prefillTokens = 0;
  let prefillAt = 0;

  const computePrefill = (now: Ms): number => {
    const left = Math.max(0, 1 - (now - prefillAt) / PREFILL_MEMORY_MS);
    return prefillTokens * left;
  };
  const remove = (id: RequestId) => {
    const known = own.get(id);
    if (!known) return;
    own.delete(id);
    addForecast(sum, known.forecast, -1);
  };
  const put = (id: RequestId, stream: ForecastStream) => {
    remove(id);
    const forecast = computeForecast(stream);
    own.set(id, { stream, forecast });
    addForecast(sum, forecast, 1);
  };
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
    /** Counts a stream that is placed now; its prompt has still to be computed. */
    place: (id: RequestId, stream: ForecastStream, now: Ms) => {
      prefillTokens = computePrefill(now) + stream.promptTokens;
      prefillAt = now;
      put(id, stream);
    },
    recordProgress: (id: RequestId, generatedTokens: number) => {
      const known = own.get(id);
      if (known) put(id, { ...known.stream, generatedTokens });
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
    /** The engine itself refused new work because it leaves. */
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
     * Room that is left, in tokens, at the horizon where it is least, after one more stream; with
     * `caution` standard deviations kept free. Negative where it does not fit.
     */
    computeRoom: (options: {
      readonly candidate: Forecast;
      readonly summary: BoxSummary;
      readonly caution: number;
      readonly now: Ms;
    }): number => {
      const { candidate, summary, caution } = options;
      const others = getOthers(options.now);
      const unseen = summary.othersTokensPerMs * others.age;
      const othersTokens = others.tokens + unseen;
      let room = Number.POSITIVE_INFINITY;
      for (let h = 0; h < HORIZONS.length; h += 1) {
        const mean =
          sum.mean[h]! + candidate.mean[h]! + othersTokens * summary.growth[h]!;
        const variance =
          sum.variance[h]! + candidate.variance[h]! + othersTokens * summary.spread[h]!;
        room = Math.min(room, server.memoryTokens - mean - caution * Math.sqrt(variance));
      }
      return Math.floor(room);
    },
    hasSlot: (now: Ms): boolean => own.size + getOthers(now).streams < server.maxRunning,
    /** How busy the engine is, in streams; prompts to be computed count as streams as well. */
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
