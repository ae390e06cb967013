/** Records of the simulation, and the parts that a test can replace. */
import type { BundleHead } from "@stairgauge/bundle";
import type { OnceGuard } from "@stairgauge/claims";
import type { EngineClient } from "@stairgauge/engines";
import type { Outcome } from "@stairgauge/outcomes";
import type { AnswerSink, RunHandle } from "@stairgauge/relay";
import type { Continuation } from "@stairgauge/streams";

/** What the caller of a stream received, over all its connections. */
export type StreamRecord = {
  readonly id: string;
  readonly length: number;
  readonly isWhole: boolean;
  readonly tokens: string[];
  /** Where to resume the stream; undefined until the first token or the end arrives. */
  continuation: Continuation | undefined;
  ending: "open" | "left" | "whole" | "failed" | "refused";
  /** Outcome reported with a failure or refusal; undefined otherwise. */
  outcome: Outcome | undefined;
  handle: RunHandle | undefined;
  /** Number of the caller's newest connection, from 1; 0 before the first. */
  connection: number;
};

/** What the caller of a call that must not be repeated received. */
export type OnceRecord = {
  readonly key: string;
  readonly content: string;
  /** Whether the guard let the call be sent. */
  wasSent: boolean;
  answer: string | undefined;
  outcome: Outcome | undefined;
};

/** Everything that the checks of the promises read. */
export type History = Readonly<{
  streams: readonly StreamRecord[];
  onceCalls: readonly OnceRecord[];
  /** How often the call of each key ran. */
  runs: ReadonlyMap<string, number>;
  /** Each prompt that an engine started, with the engine and the time. */
  starts: readonly Readonly<{ prompt: string; engine: number; at: number }>[];
  /** Periods in which an engine was marked as leaving; `until` is Infinity while the mark is set. */
  leavingPeriods: readonly Readonly<{ engine: number; from: number; until: number }>[];
  /** Heads that each run of a box adopted, in order. */
  adoptedHeads: readonly (readonly BundleHead[])[];
  /** Version of the stored head at the end; 0 if there is none. */
  finalHead: number;
  /** Version that each box has adopted at the end; 0 if it adopted none. */
  finalVersions: readonly number[];
}>;

/** Parts of the system that a test can replace by broken ones. */
export type Variant = Readonly<{
  wrapEngines?: (client: EngineClient) => EngineClient;
  wrapGuard?: (guard: OnceGuard) => OnceGuard;
  wrapSink?: (sink: AnswerSink) => AnswerSink;
  /** Boxes ignore leaving marks. */
  ignoresMarks?: boolean;
  /** Each box starts a second head watcher that has no version on record, so it adopts the current head again. */
  adoptsAnyVersion?: boolean;
}>;
