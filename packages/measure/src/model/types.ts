/** Types of the policy simulation: arrivals, policies, profiles and faults. */
import type { GenerationId, Ms } from "@stairgauge/common";
import type { ReportedLoad } from "@stairgauge/decisions";
import type { EngineProfile } from "@stairgauge/standins";

/** One request of the load. Only the clairvoyant policy may use `length`, the number of output tokens. */
export type Arrival = Readonly<{
  id: GenerationId;
  at: Ms;
  box: number;
  workspace: string;
  tier: string;
  rank: number;
  kind: string;
  promptTokens: number;
  length: number;
  maxOutputTokens: number;
  prefix: Readonly<{ hash: string; tokens: number }>;
}>;

/** Actions of a policy. */
export type PolicyActions = Readonly<{
  place: (id: GenerationId, engine: number, priority: number) => void;
  refuse: (id: GenerationId) => void;
}>;

/** Decides where and when requests are placed. Times are of the virtual clock. */
export type Policy = Readonly<{
  handleArrival: (arrival: Arrival, now: Ms) => void;
  handleProgress: (id: GenerationId, tokens: number, now: Ms) => void;
  /** A stream ended, completely or lost with its engine. */
  handleEnd: (id: GenerationId, tokens: number, isWhole: boolean, now: Ms) => void;
  /** A stream was lost before its first token and must be placed again. */
  handleFailure: (id: GenerationId, engine: number, now: Ms) => void;
  /** A delayed load report reaches a box. */
  handleReport: (box: number, engine: number, load: ReportedLoad, now: Ms) => void;
  /** An engine was marked as leaving, or is no longer. */
  handleMark: (engine: number, isLeaving: boolean, now: Ms) => void;
  /** A box restarted without its state. */
  handleBoxLoss: (box: number, now: Ms) => void;
  handleTick: (now: Ms) => void;
  /** Returns the number of requests that wait at the boxes. */
  countWaiting: () => number;
}>;

/** Inputs of a policy. */
export type PolicySetting = Readonly<{
  profile: Profile;
  boxes: number;
  seed: number;
  actions: PolicyActions;
  /** Returns the exact state of an engine; only the clairvoyant policy may use it. */
  getEngineState: (engine: number) => EngineState;
}>;

/** Exact state of an engine. */
export type EngineState = Readonly<{
  isAlive: boolean;
  streams: readonly Readonly<{
    promptTokens: number;
    generated: number;
    length: number;
  }>[];
}>;

/** One kind of traffic. Lengths are log-normal, in tokens. */
export type TrafficKind = Readonly<{
  kind: string;
  tier: string;
  share: number;
  promptMedian: number;
  promptSpread: number;
  outputMedian: number;
  outputSpread: number;
  /** Prompt tokens shared by all requests of one workspace and kind. */
  prefixTokens: number;
  /** Factor on the arrival rate by the elapsed share of the run. */
  rate: (elapsed: number) => number;
}>;

/** A user's site and traffic. */
export type Profile = Readonly<{
  name: string;
  engines: number;
  engine: EngineProfile;
  maxOutputTokens: number;
  tiers: readonly Readonly<{
    name: string;
    rank: number;
    firstTokenDeadlineMs: number;
  }>[];
  workspaces: readonly Readonly<{ name: string; weight: number }>[];
  kinds: readonly TrafficKind[];
}>;

/** Faults that a run can include. */
export const FAULTS = [
  "engine-death",
  "reclaim",
  "reports-frozen",
  "stalled-link",
  "box-lost",
] as const;

/** Name of a fault. */
export type Fault = (typeof FAULTS)[number];
