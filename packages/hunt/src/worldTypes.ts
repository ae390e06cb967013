/** What the small world remembers, and what of it a test may replace. */
import type { BundleHead } from "@stairgauge/bundle";
import type { OnceGuard } from "@stairgauge/claims";
import type { EngineClient } from "@stairgauge/engines";
import type { Outcome } from "@stairgauge/outcomes";
import type { AnswerSink, RunHandle } from "@stairgauge/relay";
import type { Continuation } from "@stairgauge/streams";

/** What a caller of a stream was told, over all its connections. */
export type StreamRecord = {
  readonly id: string;
  readonly length: number;
  readonly isWhole: boolean;
  readonly tokens: string[];
  continuation: Continuation | undefined;
  ending: "open" | "left" | "whole" | "failed" | "refused";
  outcome: Outcome | undefined;
  handle: RunHandle | undefined;
  /** Number of the caller's connection. */
  connection: number;
};

/** What a caller of a call that may run once was told. */
export type OnceRecord = {
  readonly key: string;
  readonly content: string;
  wasSent: boolean;
  answer: string | undefined;
  outcome: Outcome | undefined;
};

/** All that is looked at in the end. */
export type History = Readonly<{
  streams: readonly StreamRecord[];
  onceCalls: readonly OnceRecord[];
  /** Times that each key's call ran. */
  runs: ReadonlyMap<string, number>;
  /** Prompts that reached an engine, with where and when. */
  starts: readonly Readonly<{ prompt: string; engine: number; at: number }>[];
  /** Times from which an engine was marked as leaving, and until when. */
  leavings: readonly Readonly<{ engine: number; from: number; until: number }>[];
  /** Versions that each run of a box adopted, in order. */
  adoptions: readonly (readonly BundleHead[])[];
  /** Head's version and time when the world came to rest. */
  finalHead: number;
  finalVersions: readonly number[];
}>;

/** Parts of the system that a test may replace by broken ones. */
export type Variant = Readonly<{
  wrapEngines?: (client: EngineClient) => EngineClient;
  wrapGuard?: (guard: OnceGuard) => OnceGuard;
  wrapSink?: (sink: AnswerSink) => AnswerSink;
  /** Boxes that do not hear of leaving servers. */
  ignoresMarks?: boolean;
  /** Boxes that take the head's version for new whenever they look. */
  adoptsAnyVersion?: boolean;
}>;
