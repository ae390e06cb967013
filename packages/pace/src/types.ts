/** Types of samples and estimates of service times. */
import type { BoxName, Ms, ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";

/** The server that a sample was taken at. */
type SampledServer = Readonly<{ server: ServerId; service: ServiceName }>;

/** One observation of a server's service time, taken by the box that forwarded the request. */
export type PaceSample = SampledServer &
  Readonly<
    /** A plain request was answered with success. */
    | {
        kind: "answer";
        /** Time from sending the request to the complete answer. */
        tookMs: number;
        /** Requests known to be at the server when this one was sent, without it. */
        requestsThere: number;
        slots: number;
      }
    /** The first event of a generation has arrived. */
    | {
        kind: "first_event";
        /** Time from sending the request, or from the end of the prompt before it, to the event. */
        tookMs: number;
        promptTokens: number;
        /** Prompt tokens that the engine processed within `tookMs` before this prompt. */
        aheadTokens: number;
      }
    /** Gaps between events of one stream, over about a second. */
    | {
        kind: "events";
        gaps: number;
        meanMs: number;
        longestMs: number;
        /** Number of gaps above the target of the route. */
        aboveTarget: number;
      }
  >;

/** Geometric mean of some values, and how many there were. */
export type PaceSum = Readonly<{ weight: number; mean: number }>;

/** Gaps between the events of an engine's streams. */
export type GapSum = Readonly<{
  gaps: number;
  aboveTarget: number;
  longestMs: number;
}>;

/** What one box has observed at a server since its last update. */
export type SharedPace = Readonly<{
  server: ServerId;
  service: ServiceName;
  /** Time since the newest observation. */
  age: Ms;
  /** Ms of one plain request. */
  answer?: PaceSum | undefined;
  /** Ms for each prompt token of an engine. */
  reading?: PaceSum | undefined;
  /** Ms between two events of an engine's streams. */
  event?: PaceSum | undefined;
  gaps?: GapSum | undefined;
  /** Whether the engine is in a slow period. */
  isSlow?: boolean | undefined;
}>;

/** The measures of a server's service time. */
export type PaceMeasure = "answer" | "reading" | "event";

/** Expected value of one measure. */
export type MeasureEstimate = Readonly<{
  /** The service's median where the weight is 0. */
  value: number;
  /** Number of samples, decayed. */
  weight: number;
  /** Time since the newest sample; undefined without one. */
  ageMs: number | undefined;
}>;

/** Expected service times of one server; a measure is undefined where the service has no sample of it. */
export type PaceEstimate = Readonly<{
  answer: MeasureEstimate | undefined;
  reading: MeasureEstimate | undefined;
  event: MeasureEstimate | undefined;
  /** Longest gap between events of late, decayed towards the mean gap; undefined without gaps. */
  longestGapMs: number | undefined;
  /** Decayed share of gaps above the target. */
  shareAboveTarget: number;
  /** Time since the engine was last seen in a slow period. */
  slowAgoMs: number | undefined;
}>;

/** The service times of one service's servers at one moment. */
export type ServicePace = Readonly<{
  /** Whether the servers' service times differ so far that the choice of a server has to follow them. */
  isUneven: boolean;
  estimate: (server: ServerId) => PaceEstimate;
  /** Median over the service's servers; undefined without samples. */
  findMedian: (measure: PaceMeasure) => number | undefined;
  /** Longest gap of late that an engine of median speed has to expect; undefined without gaps. */
  longestGapMs: number | undefined;
}>;

/** A change of an estimate by more than half. */
export type PaceEvent = Readonly<{
  kind: "pace_changed";
  server: ServerId;
  measure: PaceMeasure;
  before: number;
  after: number;
  weight: number;
  ageMs: number;
  /** The box whose update brought the change; undefined if this box observed it. */
  by: BoxName | undefined;
}>;

/** A sample beside what was expected, for metrics. */
export type PaceObservation = Readonly<{
  measure: PaceMeasure;
  /** Expected over observed time. */
  ratio: number;
}>;
