/** What a pattern of load is, and what a play of it brings; times in ms, sizes in tokens. */
import type { EngineTraits, ModelRun } from "./engine.js";

/** One kind of generation. */
export type LoadKind = Readonly<{
  name: string;
  perSecond: number;
  prompt: Readonly<{ mean: number; spread: number; most: number }>;
  out: Readonly<{ mean: number; spread: number; most: number }>;
  /** Spread of the client's guess at the tokens that come out. */
  guessSpread: number;
  /** Ranks, 0 first: a workspace's own goes before that of the route, so that each kind has all of them. */
  tiers: readonly number[];
  aimMs: number;
  mostPauseMs: number;
  worth: number;
  worthLate: number;
}>;

/** A pattern of load. */
export type LoadPattern = Readonly<{
  name: string;
  durationMs: number;
  engines: number;
  traits: Omit<EngineTraits, "slowness">;
  /** Factors on the time of each step, dealt out in turn. */
  slowness: readonly number[];
  kinds: readonly LoadKind[];
  /** How far the traffic swings around its mean, and over which time. */
  swing: Readonly<{ share: number; periodMs: number }>;
  /** Engines that are taken away at short notice, and come back later. */
  reclaims: Readonly<{
    everyMs: number;
    share: number;
    noticeMs: number;
    backMs: number;
  }>;
}>;

/** What became of the generations of one kind. */
export type KindOutcome = Readonly<{
  name: string;
  asked: number;
  inTime: number;
  /** Worth earned of the worth asked for. */
  share: number;
  firstP50: number;
  firstP99: number;
  preemptions: number;
}>;

/** What became of all. */
export type LoadOutcome = Readonly<{
  share: number;
  /** The worst two windows of two seconds. */
  worstShare: number;
  kinds: readonly KindOutcome[];
}>;

/** A generation of a play, where it is, and whether it has ended. */
export type PlayedRun = {
  readonly run: ModelRun;
  engine: string | undefined;
  isEnded: boolean;
};
