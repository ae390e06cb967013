/** Types of the relay. */
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

/** Dependencies of the relay. */
export type RelayDeps = Readonly<{
  clock: Clock;
  random: Random;
  engines: EngineClient;
  logger: Logger;
  metrics: Metrics;
  /** How long a generation goes on without its caller before it is cancelled. */
  resumeGrace: Ms;
}>;

/** A validated request for a generation. */
export type GenerationCall = Readonly<{
  id: RequestId;
  workspace: WorkspaceName;
  model: ModelName;
  /** Name of the adapter; undefined for the plain model. */
  adapter: string | undefined;
  prompt: string;
  /** Estimated length of the prompt, tokens. */
  promptTokens: number;
  /** Max length of the answer, tokens. */
  maxTokens: number;
  /** Texts at which the engine ends the answer. */
  stop: readonly string[];
  /** Sampling temperature; undefined if the caller gave none. */
  temperature: number | undefined;
}>;

/** The engine and the generation that a token comes from. */
export type TokenSource = Readonly<{
  server: BackendServerName;
  generation: GenerationId;
}>;

/** Why a request was not placed. */
export type PlacementRefusal = Readonly<{
  /** `leaving`: this box is stopping. */
  reason: RefusalReason | "leaving";
  /** Time after which the caller is asked to retry. */
  retryAfter: Ms;
}>;

/** Why a request was refused, and whether it ran, as an earlier attempt may have. */
export type Refusal = PlacementRefusal & Readonly<{ outcome: Outcome }>;

/** Receives an answer. Exactly one of `onEnd`, `onRefused` and `onFailed` is called, as the last. */
export type AnswerSink = Readonly<{
  /** Receives a token; returning false asks the relay to stop reading until `setBlocked(false)`. */
  onToken: (index: number, text: string, source: TokenSource) => boolean;
  /** Drops all tokens, because the answer starts again. Never called once tokens are sent on. */
  onDiscard: () => void;
  onEnd: (end: StreamEnd, source: TokenSource) => void;
  onRefused: (refusal: Refusal) => void;
  onFailed: (failure: StreamFailure) => void;
}>;

/** A generation to run. */
export type RunRequest = Readonly<{
  call: GenerationCall;
  /** The bundle in force when the request arrived; it stays the same until the end. */
  index: BundleIndex;
  /** Whether the sink sends each token to the caller at once, so that it cannot be discarded. */
  deliversAtOnce: boolean;
  /** Whether another attempt is allowed after one that may have run. */
  mayRunAgain: boolean;
  /** Set when the caller resumes an earlier generation. */
  continuation?: Continuation;
  sink: AnswerSink;
}>;

/** Controls of a running generation for its caller's connection. */
export type RunHandle = Readonly<{
  /** Ends the run because the caller's connection closed. */
  leave: () => void;
  /** Stops or resumes reading from the engine, as the caller's connection accepts data or not. */
  setBlocked: (isBlocked: boolean) => void;
}>;
