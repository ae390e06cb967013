/**
 * Frames of an engine's stream, and the events and actions of a stream session. A link is one connection to an engine that carries
 * frames; the links of a session are numbered from 1.
 */
import type { BackendServerName, GenerationId, Ms } from "@stairgauge/common";
import type { LinkFailure, Outcome } from "@stairgauge/outcomes";

/** Why an engine ended a generation: the text is complete, or it reached the length limit. */
export type EndReason = "stop" | "length";

/** One frame of an engine's stream. */
export type EngineFrame = Readonly<
  | { kind: "token"; generation: GenerationId; index: number; text: string }
  | {
      kind: "end";
      generation: GenerationId;
      reason: EndReason;
      /** Number of tokens of the whole generation. */
      tokens: number;
      promptTokens: number;
    }
  | { kind: "heartbeat" }
>;

/** The end of a complete answer, whose token count matches the delivered tokens. */
export type StreamEnd = Readonly<{
  reason: EndReason;
  tokens: number;
  promptTokens: number;
}>;

/** Why a frame was not delivered. */
export type DropReason = "stale_link" | "wrong_generation" | "repeated";

/** Why a stream ended without a complete answer. */
export type StreamFailure = Readonly<
  | { kind: "generation_lost"; cause: LinkFailure; delivered: number; outcome: Outcome }
  | { kind: "attempts_exhausted"; cause: LinkFailure; outcome: Outcome }
  | {
      kind: "token_count_mismatch";
      announced: number;
      delivered: number;
      outcome: Outcome;
    }
>;

/** Input of a session. */
export type SessionEvent = Readonly<
  | { kind: "placed"; server: BackendServerName }
  /** Starts a session whose options contain a continuation. */
  | { kind: "continued" }
  | { kind: "frame"; link: number; frame: EngineFrame }
  | { kind: "linkEnded"; link: number; failure: LinkFailure | undefined }
  | { kind: "ticked" }
  | { kind: "readerResumed" }
  | { kind: "callerGone" }
>;

/** How a link starts: with a new generation, or with an existing one from a token index. */
export type LinkMode = Readonly<{ kind: "start" } | { kind: "resume"; from: number }>;

/** Output of a session: what the code that runs it must do. */
export type SessionAction = Readonly<
  | { kind: "deliver"; index: number; text: string }
  | { kind: "finish"; end: StreamEnd }
  | { kind: "fail"; failure: StreamFailure }
  | { kind: "drop"; reason: DropReason }
  /** Discard the collected tokens; the answer restarts with a new generation. */
  | { kind: "discard" }
  | {
      kind: "openLink";
      link: number;
      mode: LinkMode;
      server: BackendServerName;
      generation: GenerationId;
      delay: Ms;
    }
  | { kind: "closeLink"; link: number }
  | { kind: "requestPlacement"; cause: LinkFailure; failedServer: BackendServerName }
  | { kind: "cancelGeneration"; server: BackendServerName; generation: GenerationId }
  /** The caller disconnected: cancel the generation after the grace time unless a caller has resumed it by then. */
  | { kind: "orphanGeneration"; server: BackendServerName; generation: GenerationId }
>;
