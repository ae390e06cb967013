/** Types of the relay's shell. */
import type { BundleIndex } from "@stairgauge/bundle";
import type {
  BackendServerName,
  Clock,
  GenerationId,
  ModelName,
  Ms,
  Random,
  RequestId,
  WorkspaceName,
} from "@stairgauge/common";
import type { RefusalReason } from "@stairgauge/decisions";
import type { EngineClient } from "@stairgauge/engines";
import type { Outcome } from "@stairgauge/outcomes";
import type { Continuation, StreamEnd, StreamFailure } from "@stairgauge/streams";
import type { Logger, Metrics } from "@stairgauge/telemetry";

/** What the shell is made of. */
export type RelayDeps = Readonly<{
  clock: Clock;
  random: Random;
  engines: EngineClient;
  logger: Logger;
  metrics: Metrics;
  /** How long a caller may stay away before its generation is cancelled. */
  resumeGrace: Ms;
}>;

/** A caller's request for a generation, validated. */
export type GenerationCall = Readonly<{
  id: RequestId;
  workspace: WorkspaceName;
  model: ModelName;
  adapter: string | undefined;
  prompt: string;
  promptTokens: number;
  maxTokens: number;
  stop: readonly string[];
  temperature: number | undefined;
}>;

/** Where a token comes from. */
export type TokenSource = Readonly<{
  server: BackendServerName;
  generation: GenerationId;
}>;

/** Why a call got no place. */
export type PlacementRefusal = Readonly<{
  reason: RefusalReason | "leaving";
  retryAfter: Ms;
}>;

/** Why a call was refused, and what may be said of it: an earlier attempt may have run. */
export type Refusal = PlacementRefusal & Readonly<{ outcome: Outcome }>;

/** Receives an answer. Exactly one of `onEnd`, `onRefused` and `onFailed` comes last. */
export type AnswerSink = Readonly<{
  /** Takes a token; false asks the relay to stop reading until `setBlocked(false)`. */
  onToken: (index: number, text: string, source: TokenSource) => boolean;
  /** Forget all tokens: the answer starts anew. Only before the first has left. */
  onDiscard: () => void;
  onEnd: (end: StreamEnd, source: TokenSource) => void;
  onRefused: (refusal: Refusal) => void;
  onFailed: (failure: StreamFailure) => void;
}>;

/** A generation to run. */
export type RunRequest = Readonly<{
  call: GenerationCall;
  /** Rules in force when the request began; it keeps them. */
  index: BundleIndex;
  deliversAtOnce: boolean;
  /** Whether an attempt that may have run may be followed by another. */
  mayRunAgain: boolean;
  continuation?: Continuation;
  sink: AnswerSink;
}>;

/** A running generation, as its caller's connection sees it. */
export type RunHandle = Readonly<{
  /** The caller's connection closed. */
  leave: () => void;
  /** The caller does not take more for now, or does again. */
  setBlocked: (isBlocked: boolean) => void;
}>;
