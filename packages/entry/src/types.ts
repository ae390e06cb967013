/** What the callers' interface is made of. */
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

/** Dependencies of the callers' interface. */
export type EntryDeps = Readonly<{
  clock: Clock;
  random: Random;
  logger: Logger;
  metrics: Metrics;
  relay: Relay;
  services: ServiceClient;
  serviceRouter: ServiceRouter;
  onceGuard: OnceGuard;
  /** The bundle in force, once there is one. */
  getIndex: () => BundleIndex | undefined;
  /** The first signs, all verify. */
  resumeKeys: readonly ResumeKey[];
  bodyLimits: BodyLimits;
  /** Serves HTTPS where given. */
  tls?: TlsIdentity | undefined;
  /** Open answers, so that a stop can wait for them. */
  answers: AnswerRegistry;
}>;

/** A caller who was recognised, and the rules that its request keeps. */
export type Caller = Readonly<{ workspace: Workspace; index: BundleIndex }>;

/** An answer that is under way. */
export type OpenAnswer = Readonly<{
  /** Tells the caller to go on elsewhere, and ends the answer here. */
  sendAway: () => void;
}>;

/** How an answer to a generation ended. */
export type AnswerOver = Readonly<
  /** `body` is the whole answer's, where it was not streamed. */
  | { end: "whole"; body: string | undefined }
  | { end: "failed"; outcome: Outcome }
  | { end: "left" }
>;

/** The answer to a generation. */
export type Answer = OpenAnswer &
  Readonly<{
    sink: AnswerSink;
    /** Hands over the run once it has begun. */
    attach: (run: RunHandle) => void;
  }>;

/** The answers under way on this box. */
export type AnswerRegistry = Readonly<{
  add: (answer: OpenAnswer) => void;
  remove: (answer: OpenAnswer) => void;
  count: () => number;
  sendAllAway: () => void;
  /** Whether the box takes new requests. */
  isOpen: () => boolean;
  /** Takes no new requests from now on; resolves once no answer is under way. */
  closeAndWait: () => Promise<void>;
}>;
