/** Types of the stand-in engine. */
import type { GenerationId } from "@stairgauge/common";

/** What the stand-in engine is like. */
export type EngineProfile = Readonly<{
  memoryTokens: number;
  maxRunning: number;
  /** Fixed part of a decoding step, milliseconds. */
  stepBaseMs: number;
  /** Part of a decoding step for each stream in the batch, milliseconds. */
  stepPerStreamMs: number;
  /** Cost of computing one prompt token, milliseconds. */
  prefillPerTokenMs: number;
  /** Most prompt tokens that one step computes. */
  prefillChunkTokens: number;
  /** Memory kept for shared prompt prefixes, tokens. */
  prefixCacheTokens: number;
}>;

/** A generation as the engine model sees it. */
export type SequenceStart = Readonly<{
  generation: GenerationId;
  /** 0 is the most urgent. */
  priority: number;
  promptTokens: number;
  /** Tokens that it will generate; hidden from everyone but the engine. */
  length: number;
  /** Identity and length of the part of the prompt that others may share. */
  prefix: Readonly<{ hash: string; tokens: number }>;
}>;

/** What one step did. */
export type StepResult = Readonly<{
  durationMs: number;
  /** Generations that gained one token each. */
  advanced: readonly GenerationId[];
  finished: readonly GenerationId[];
  preempted: readonly GenerationId[];
}>;
