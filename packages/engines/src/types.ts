/** The engine side as the rest of the system sees it: one interface, one adapter per wire format. */
import type { GenerationId, ModelName, Ms, Result } from "@stairgauge/common";
import type { LinkFailure } from "@stairgauge/outcomes";
import type { EngineFrame } from "@stairgauge/streams";

/** Where an engine listens, IP:PORT. */
export type EngineAddress = string;

/** A generation to start. */
export type StartRequest = Readonly<{
  generation: GenerationId;
  model: ModelName;
  adapter?: string | undefined;
  prompt: string;
  /** Estimated length of the prompt, tokens. */
  promptTokens: number;
  maxTokens: number;
  stop: readonly string[];
  temperature?: number | undefined;
  /** 0 is the most urgent. */
  priority: number;
  /** How long the engine keeps a generation that nobody reads. */
  detachGraceMs: Ms;
}>;

/** What a link tells its owner. Calls stop after `onEnd`. */
export type LinkHandlers = Readonly<{
  onFrame: (frame: EngineFrame) => void;
  /** The link is over; without a failure it closed cleanly. */
  onEnd: (failure: LinkFailure | undefined) => void;
}>;

/** An open exchange with an engine. */
export type EngineLink = Readonly<{
  /** Stops reading, so that the engine's side fills up instead of this one. */
  pause: () => void;
  resume: () => void;
  /** Closes the exchange; the generation itself goes on. */
  close: () => void;
}>;

/** An engine's report of its load, old by the time it is read. */
export type LoadReport = Readonly<{
  /** Engine's monotonic report number. */
  sequence: number;
  running: number;
  waiting: number;
  usedTokens: number;
  memoryTokens: number;
  preemptions: number;
  isLeaving: boolean;
  /** The newest fencing token that the engine has accepted. */
  fencingToken: number;
}>;

/** One change of an engine's prefix cache. Events come late and with gaps in `sequence`. */
export type CacheEvent = Readonly<{
  sequence: number;
  kind: "stored" | "evicted";
  prefixHash: string;
}>;

/** An order to an engine; `fencingToken` rises with each holder of the lease. */
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
  openStart: (
    address: EngineAddress,
    request: StartRequest,
    handlers: LinkHandlers,
  ) => EngineLink;
  openResume: (
    address: EngineAddress,
    target: Readonly<{ generation: GenerationId; from: number }>,
    handlers: LinkHandlers,
  ) => EngineLink;
  /** Cancels a generation; with `onlyIfDetached`, only while nobody reads it. */
  cancel: (
    address: EngineAddress,
    target: Readonly<{ generation: GenerationId; onlyIfDetached: boolean }>,
  ) => Promise<Result<void, LinkFailure>>;
  /** Pauses a running generation, so that it gives its memory back, or lets it go on. */
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
