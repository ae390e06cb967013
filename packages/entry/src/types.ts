/** Types of the HTTP API for callers. */
import type { BundleIndex, Workspace } from "@stairgauge/bundle";
import type { OnceGuard } from "@stairgauge/claims";
import type { Clock, Random } from "@stairgauge/common";
import type { ServiceRouter } from "@stairgauge/decisions";
import type { BodyLimits, TlsIdentity } from "@stairgauge/http";
import type { Outcome } from "@stairgauge/outcomes";
import type { AnswerSink, Relay, RunHandle } from "@stairgauge/relay";
import type { ServiceClient } from "@stairgauge/services";
import type { ResumeKey } from "@stairgauge/streams";
import type { Logger, Metrics } from "@stairgauge/telemetry";

/** Dependencies of the HTTP API. */
export type EntryDeps = Readonly<{
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  relay: Relay;
  services: ServiceClient;
  serviceRouter: ServiceRouter;
  onceGuard: OnceGuard;
  /** The bundle in force; undefined before the first one. */
  getIndex: () => BundleIndex | undefined;
  /** Keys of resume tokens: the first one signs, all of them verify. */
  resumeKeys: readonly ResumeKey[];
  bodyLimits: BodyLimits;
  /** Certificate for HTTPS; undefined serves plain HTTP. */
  tls?: TlsIdentity | undefined;
  /** Open answers, so that a planned stop can wait for them. */
  answers: AnswerRegistry;
}>;

/** An authenticated caller, and the bundle that applies to its request until the end. */
export type Caller = Readonly<{ workspace: Workspace; index: BundleIndex }>;

/** An answer that is not over. */
export type OpenAnswer = Readonly<{
  /** Ends the answer with an error that asks the caller to resume on another box. */
  endForResume: () => void;
}>;

/** How an answer to a generation ended. */
export type AnswerOver = Readonly<
  /** `body` is the answer's JSON; undefined if it was streamed. */
  | { end: "whole"; body: string | undefined }
  | { end: "failed"; outcome: Outcome }
  /** The caller's connection closed. */
  | { end: "left" }
>;

/** The answer to a generation. */
export type Answer = OpenAnswer &
  Readonly<{
    sink: AnswerSink;
    /** Sets the run that the answer controls. */
    attach: (run: RunHandle) => void;
  }>;

/** The open answers of this box. */
export type AnswerRegistry = Readonly<{
  add: (answer: OpenAnswer) => void;
  remove: (answer: OpenAnswer) => void;
  count: () => number;
  /** Calls `endForResume` of every open answer. */
  endAllForResume: () => void;
  /** Whether the box accepts new requests. */
  isOpen: () => boolean;
  /** Refuses new requests from now on; resolves once no answer is open. */
  closeAndWait: () => Promise<void>;
}>;
