/** Interface to model engines, with one implementation per wire format. */
import type { GenerationId, ModelName, Ms, Result } from "@stairgauge/common";
import type { LinkFailure } from "@stairgauge/outcomes";
import type { EngineFrame } from "@stairgauge/streams";

/** Address on which an engine listens, as IP:PORT. */
export type EngineAddress = string;

/** A generation to start. */
export type StartRequest = Readonly<{
  generation: GenerationId;
  model: ModelName;
  adapter?: string | undefined;
  prompt: string;
  /** Estimated length of the prompt, in tokens. */
  promptTokens: number;
  maxTokens: number;
  stop: readonly string[];
  temperature?: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  /** How long the engine keeps a generation that no link reads. */
  detachGraceMs: Ms;
}>;

/** Callbacks of a link. None is called after `onEnd`. */
export type LinkHandlers = Readonly<{
  onFrame: (frame: EngineFrame) => void;
  /** The link has ended. `failure` is undefined if the answer ended normally. */
  onEnd: (failure: LinkFailure | undefined) => void;
}>;

/** An open call to an engine that reads the frames of one generation. */
export type EngineLink = Readonly<{
  /** Stops reading, so that unread frames are buffered by the engine and not by this process. */
  pause: () => void;
  resume: () => void;
  /** Closes the link. The generation continues on the engine. */
  close: () => void;
}>;

/** An engine's report of its load. It is already outdated when it is read. */
export type LoadReport = Readonly<{
  /** Number of the report, which increases with each report of the engine. */
  sequence: number;
  running: number;
  waiting: number;
  /** Tokens held in the engine's cache memory. */
  usedTokens: number;
  /** Tokens that the engine's cache memory can hold. */
  memoryTokens: number;
  preemptions: number;
  isLeaving: boolean;
  /** The newest fencing token that the engine has accepted. */
  fencingToken: number;
}>;

/** One change of an engine's prefix cache. Events arrive late, and `sequence` can have gaps. */
export type CacheEvent = Readonly<{
  sequence: number;
  kind: "stored" | "evicted";
  prefixHash: string;
}>;

/**
 * An order to an engine. `fencingToken` increases with each new holder of the engine's lease. The
 * engine does not start the order after `deadlineAt`.
 */
export type EngineOrder = Readonly<
  | { kind: "loadAdapter"; adapter: string; fencingToken: number; deadlineAt: Ms }
  | {
      kind: "loadModel";
      model: ModelName;
      version: string;
      fencingToken: number;
      deadlineAt: Ms;
    }
  | {
      kind: "changeRole";
      role: "prefill" | "decode" | "both";
      fencingToken: number;
      deadlineAt: Ms;
    }
>;

/** Client of one kind of engine. */
export type EngineClient = Readonly<{
  /** Starts a generation and reads its frames. */
  openStart: (
    address: EngineAddress,
    request: StartRequest,
    handlers: LinkHandlers,
  ) => EngineLink;
  /** Reads an existing generation from the token index `from`. */
  openResume: (
    address: EngineAddress,
    target: Readonly<{ generation: GenerationId; from: number }>,
    handlers: LinkHandlers,
  ) => EngineLink;
  /** Cancels a generation. With `onlyIfDetached`, only if no link reads it. */
  cancel: (
    address: EngineAddress,
    target: Readonly<{ generation: GenerationId; onlyIfDetached: boolean }>,
  ) => Promise<Result<void, LinkFailure>>;
  /** Pauses a running generation, which frees its memory, or continues it. */
  setPaused: (
    address: EngineAddress,
    target: Readonly<{ generation: GenerationId; isPaused: boolean }>,
  ) => Promise<Result<void, LinkFailure>>;
  readLoad: (address: EngineAddress) => Promise<Result<LoadReport, LinkFailure>>;
  readCacheEvents: (
    address: EngineAddress,
    afterSequence: number,
  ) => Promise<Result<readonly CacheEvent[], LinkFailure>>;
  sendOrder: (
    address: EngineAddress,
    order: EngineOrder,
  ) => Promise<Result<void, LinkFailure>>;
  close: () => Promise<void>;
}>;
