/** Frames, and the events and actions of one stream. */
import type { BackendServerName, GenerationId, Ms } from "@stairgauge/common";
import type { LinkFailure, Outcome } from "@stairgauge/outcomes";

/** Why a generation ended on its own. */
export type EndReason = "stop" | "length";

/** One frame of an engine's stream. */
export type EngineFrame = Readonly<
  | { kind: "token"; generation: GenerationId; index: number; text: string }
  | {
      kind: "end";
      generation: GenerationId;
      reason: EndReason;
      /** Count of tokens of the whole generation. */
      tokens: number;
      promptTokens: number;
    }
  | { kind: "heartbeat" }
>;

/** The verified end of an answer. */
export type StreamEnd = Readonly<{
  reason: EndReason;
  tokens: number;
  promptTokens: number;
}>;

/** Why a frame was not delivered. */
export type DropReason = "stale_link" | "wrong_generation" | "repeated";

/** Why a stream ended without its whole answer. */
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

/** What a session is told. */
export type SessionEvent = Readonly<
  | { kind: "placed"; server: BackendServerName }
  /** Begins a session whose options hold a continuation. */
  | { kind: "continued" }
  | { kind: "frame"; link: number; frame: EngineFrame }
  | { kind: "linkEnded"; link: number; failure: LinkFailure | undefined }
  | { kind: "ticked" }
  | { kind: "readerResumed" }
  | { kind: "callerGone" }
>;

/** How a link begins: a new generation, or an earlier one from an index. */
export type LinkMode = Readonly<{ kind: "start" } | { kind: "resume"; from: number }>;

/** What a session asks its shell to do. */
export type SessionAction = Readonly<
  | { kind: "deliver"; index: number; text: string }
  | { kind: "finish"; end: StreamEnd }
  | { kind: "fail"; failure: StreamFailure }
  | { kind: "drop"; reason: DropReason }
  /** Forget what was collected: the answer starts anew with another generation. */
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
  /** The caller went away: cancel once the grace ends, unless someone else reads by then. */
  | { kind: "orphanGeneration"; server: BackendServerName; generation: GenerationId }
>;
