/** Types of the stand-in engine. */
import type { GenerationId } from "@stairgauge/common";

/** Capacity and speed of a stand-in engine. */
export type EngineProfile = Readonly<{
  /** Memory for running generations, in tokens. */
  memoryTokens: number;
  /** Maximum number of generations in the batch. */
  maxRunning: number;
  /** Fixed duration of a decoding step, in milliseconds. */
  stepBaseMs: number;
  /** Additional duration for each stream that gains a token, in milliseconds. */
  stepPerStreamMs: number;
  /** Additional duration for each prompt token computed, in milliseconds. */
  prefillPerTokenMs: number;
  /** Maximum number of prompt tokens computed in one step. */
  prefillChunkTokens: number;
  /** Size of the cache of prompt prefixes, in tokens. */
  prefixCacheTokens: number;
}>;

/** Start of a generation in the engine model. */
export type SequenceStart = Readonly<{
  generation: GenerationId;
  /** 0 is the most urgent. */
  priority: number;
  promptTokens: number;
  /** Number of tokens that it will generate; clients and boxes don't get this number. */
  length: number;
  /** Hash and length of the start of the prompt, which other prompts may share. */
  prefix: Readonly<{ hash: string; tokens: number }>;
}>;

/** Result of one step. */
export type StepResult = Readonly<{
  durationMs: number;
  /** Generations that each gained one token, including finished ones. */
  advanced: readonly GenerationId[];
  finished: readonly GenerationId[];
  preempted: readonly GenerationId[];
}>;
