/** Types of load patterns and their results; times in ms, sizes in tokens. */
import type { EngineTraits, ModelRun } from "./engine.js";

/** One kind of generation. Lengths are log-normal. */
export type LoadKind = Readonly<{
  name: string;
  perSecond: number;
  prompt: Readonly<{ mean: number; spread: number; max: number }>;
  out: Readonly<{ mean: number; spread: number; max: number }>;
  /** Spread of the client's estimate of the output length. */
  guessSpread: number;
  /** Ranks to draw from, 0 most urgent. The workspace's rank overrides the route's, so each kind has all of them. */
  tiers: readonly number[];
  /** Longest time to the first event that is still in time. */
  aimMs: number;
  /** Longest pause between two events that is still in time. */
  mostPauseMs: number;
  /** Worth of a generation of mean size served in time, and of one served late. */
  worth: number;
  worthLate: number;
}>;

/** A load pattern. */
export type LoadPattern = Readonly<{
  name: string;
  durationMs: number;
  /**
   * Whether requests and reclaims are drawn from a random source of their own, so that two ways of
   * choosing engines meet the same load.
   */
  hasOwnLoadSeed?: boolean | undefined;
  engines: number;
  traits: Omit<EngineTraits, "slowness" | "getSlowFactor">;
  /** Factors on the time of each step, assigned to the engines in turn. */
  slowness: readonly number[];
  /** Periods in which an engine is slower, drawn for each engine; none if undefined. */
  slowPeriods?: Readonly<{ share: number; lengthMs: number; factor: number }> | undefined;
  kinds: readonly LoadKind[];
  /** Amplitude of the arrival rate as a share of its mean, and the period. */
  swing: Readonly<{ share: number; periodMs: number }>;
  /** Engines reclaimed at short notice: how often, which share, with which notice, and after which time they return. */
  reclaims: Readonly<{
    everyMs: number;
    share: number;
    noticeMs: number;
    backMs: number;
  }>;
}>;

/** Result for the generations of one kind. */
export type KindOutcome = Readonly<{
  name: string;
  asked: number;
  inTime: number;
  /** Runs whose first event was late, or that had none. */
  lateFirst: number;
  /** Served runs whose first event was in time, but which paused for too long. */
  latePause: number;
  /** Worth earned as a share of the worth of all requests. */
  share: number;
  firstP50: number;
  firstP99: number;
  preemptions: number;
}>;

/** Result for all generations. */
export type LoadOutcome = Readonly<{
  share: number;
  /** Mean share in the worst two windows of two seconds. */
  worstShare: number;
  kinds: readonly KindOutcome[];
}>;

/** A generation in the simulation. */
export type SimulatedRun = {
  readonly run: ModelRun;
  /** Id of its engine; undefined while it waits for one. */
  engine: string | undefined;
  isEnded: boolean;
};
