/** Types of the measurement: arrivals, policies and what is recorded. */
import type { GenerationId, Ms } from "@stairgauge/common";
import type { ReportedLoad } from "@stairgauge/decisions";
import type { EngineProfile } from "@stairgauge/standins";

/** One request of the load; `length` is hidden from every policy but the clairvoyant one. */
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

/** What a policy may do to the world. */
export type PolicyActions = Readonly<{
  place: (id: GenerationId, engine: number, priority: number) => void;
  refuse: (id: GenerationId) => void;
}>;

/** A way to decide. Time is the virtual clock's. */
export type Policy = Readonly<{
  handleArrival: (arrival: Arrival, now: Ms) => void;
  handleProgress: (id: GenerationId, tokens: number, now: Ms) => void;
  /** A stream ended: whole, or lost with its engine. */
  handleEnd: (id: GenerationId, tokens: number, isWhole: boolean, now: Ms) => void;
  /** A stream was lost before its first token and wants another place. */
  handleFailure: (id: GenerationId, engine: number, now: Ms) => void;
  /** A lagging load report reaches a box. */
  handleReport: (box: number, engine: number, load: ReportedLoad, now: Ms) => void;
  handleMark: (engine: number, isLeaving: boolean, now: Ms) => void;
  /** A box lost its memory and started anew. */
  handleBoxLoss: (box: number, now: Ms) => void;
  handleTick: (now: Ms) => void;
  /** Requests that wait at the boxes. */
  countWaiting: () => number;
}>;

/** What a policy is made with. */
export type PolicySetting = Readonly<{
  profile: Profile;
  boxes: number;
  seed: number;
  actions: PolicyActions;
  /** The truth about an engine; only the clairvoyant policy may ask. */
  getTruth: (engine: number) => EngineTruth;
}>;

/** What is true of an engine now. */
export type EngineTruth = Readonly<{
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
  /** Prompt tokens that all requests of one workspace and kind share. */
  prefixTokens: number;
  /** Change of the arrival rate over the run, by the elapsed share of it. */
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

/** Faults that a run may have. */
export const FAULTS = [
  "engine-death",
  "reclaim",
  "reports-frozen",
  "stalled-link",
  "box-lost",
] as const;

/** A fault. */
export type Fault = (typeof FAULTS)[number];
