/** What this box believes of one engine: the bundle's facts, a late report, and its own streams. */
import type { EngineServer } from "@stairgauge/bundle";
import type { Ms, RequestId } from "@stairgauge/common";
import {
  LEAVING_REFUSAL_MS,
  MEMORY_FILL,
  PRIOR_OUTPUT_TOKENS,
  REPORT_STALE_MS,
} from "./constants.js";
import type { ReportedLoad } from "./types.js";

/** A stream that this box placed on the engine. */
export type OwnStream = Readonly<{
  promptTokens: number;
  maxOutputTokens: number;
  generatedTokens: number;
}>;

type Report = Readonly<{
  load: ReportedLoad;
  at: Ms;
  /** Memory that this box's own streams held when the report came. */
  ownTokens: number;
  ownStreams: number;
}>;

/** The view of one engine. */
export type EngineView = ReturnType<typeof createEngineView>;

/** Tokens that a stream is expected to hold at its end. */
const estimatePeak = (stream: OwnStream): number => {
  const expected = Math.max(PRIOR_OUTPUT_TOKENS, stream.generatedTokens * 1.5);
  return stream.promptTokens + Math.min(stream.maxOutputTokens, expected);
};

const getHeld = (stream: OwnStream): number =>
  stream.promptTokens + stream.generatedTokens;

/** Creates the view of an engine of which nothing has been heard. */
export const createEngineView = (server: EngineServer) => {
  const own = new Map<RequestId, OwnStream>();
  let report: Report | undefined;
  /** Marks by source: one source's silence does not take back another's mark. */
  let isListedLeaving = false;
  let isReportedLeaving = false;
  let refusedLeavingAt = Number.NEGATIVE_INFINITY;
  let ejectedUntil = 0;
  /** Sums over `own`, kept so that a look at an engine costs the same however busy it is. */
  let heldTokens = 0;
  let peakTokens = 0;

  const remove = (id: RequestId) => {
    const stream = own.get(id);
    if (!stream) return;
    own.delete(id);
    heldTokens -= getHeld(stream);
    peakTokens -= estimatePeak(stream);
  };
  const put = (id: RequestId, stream: OwnStream) => {
    remove(id);
    own.set(id, stream);
    heldTokens += getHeld(stream);
    peakTokens += estimatePeak(stream);
  };
  /** What others hold, from the part of the report that own streams do not explain. */
  const estimateOthers = (now: Ms) => {
    if (!report || now - report.at > REPORT_STALE_MS) return { tokens: 0, streams: 0 };
    const { load, ownTokens, ownStreams } = report;
    return {
      tokens: Math.max(0, load.usedTokens - ownTokens),
      streams: Math.max(0, load.running + load.waiting - ownStreams),
    };
  };

  return {
    server,
    put,
    remove,
    getOwn: (id: RequestId) => own.get(id),
    countOwn: () => own.size,
    recordReport: (load: ReportedLoad, now: Ms) => {
      report = { load, at: now, ownTokens: heldTokens, ownStreams: own.size };
      isReportedLeaving = load.isLeaving;
    },
    setListedLeaving: (value: boolean) => {
      isListedLeaving = value;
    },
    /** The engine itself refused new work because it leaves. */
    recordLeavingRefusal: (now: Ms) => {
      refusedLeavingAt = now;
    },
    eject: (until: Ms) => {
      ejectedUntil = until;
    },
    isEjected: (now: Ms) => now < ejectedUntil,
    isLeaving: (now: Ms): boolean =>
      isListedLeaving || isReportedLeaving || now - refusedLeavingAt < LEAVING_REFUSAL_MS,
    /** Room that the forecast leaves after one more stream; negative where it does not fit. */
    computeFreeTokens: (stream: OwnStream, now: Ms): number => {
      const others = estimateOthers(now);
      const forecast = peakTokens + others.tokens + estimatePeak(stream);
      return Math.floor(server.memoryTokens * MEMORY_FILL - forecast);
    },
    hasSlot: (now: Ms): boolean =>
      own.size + estimateOthers(now).streams < server.maxRunning,
  };
};
