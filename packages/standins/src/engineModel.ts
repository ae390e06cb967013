/**
 * Model of the stand-in engine: continuous batching in limited memory, advanced step by step, without a clock.
 *
 * Each step computes some prompt tokens, generates one token for every running stream whose prompt is computed, and preempts
 * the least urgent streams when memory is full. A preempted stream recomputes its tokens, apart from a cached prefix.
 */
import type { GenerationId } from "@stairgauge/common";
import type { EngineProfile, SequenceStart, StepResult } from "./engineTypes.js";
import { createPrefixCache } from "./prefixCache.js";

type SequenceState = "waiting" | "running" | "paused";

type Sequence = SequenceStart & {
  readonly order: number;
  state: SequenceState;
  generated: number;
  /** Tokens still to compute before the next one can be generated. */
  prefillLeft: number;
};

/** A stand-in engine without a clock or network. */
export type EngineModel = ReturnType<typeof createEngineModel>;

const getMemoryTokens = (sequence: Sequence): number =>
  sequence.promptTokens + sequence.generated;

/** Orders by urgency, most urgent first, then by arrival. */
const compareUrgency = (a: Sequence, b: Sequence): number =>
  a.priority - b.priority || a.order - b.order;

/** Creates an engine without generations. */
export const createEngineModel = (profile: EngineProfile) => {
  const sequences = new Map<GenerationId, Sequence>();
  const cache = createPrefixCache(profile.prefixCacheTokens);
  let usedTokens = 0;
  let order = 0;
  let preemptions = 0;

  const listByState = (state: SequenceState): Sequence[] =>
    [...sequences.values()].filter((sequence) => sequence.state === state);

  const releaseMemory = (sequence: Sequence, state: SequenceState) => {
    if (sequence.state === "running") usedTokens -= getMemoryTokens(sequence);
    sequence.state = state;
  };

  const admitWaiting = (running: Sequence[]) => {
    const waiting = listByState("waiting").sort(compareUrgency);
    for (const sequence of waiting) {
      const needed = getMemoryTokens(sequence) + 1;
      if (running.length >= profile.maxRunning) return;
      if (usedTokens + needed > profile.memoryTokens) return;
      const cached = cache.touch(sequence.prefix);
      sequence.prefillLeft = Math.max(1, getMemoryTokens(sequence) - cached);
      sequence.state = "running";
      usedTokens += getMemoryTokens(sequence);
      running.push(sequence);
    }
  };

  const computePrompts = (running: readonly Sequence[]): number => {
    let budget = profile.prefillChunkTokens;
    for (const sequence of running) {
      const computed = Math.min(budget, sequence.prefillLeft);
      sequence.prefillLeft -= computed;
      budget -= computed;
    }
    return profile.prefillChunkTokens - budget;
  };

  const preemptOne = (running: Sequence[]): Sequence | undefined => {
    const victim = [...running].sort(compareUrgency).pop();
    if (!victim || running.length === 1) return undefined;
    releaseMemory(victim, "waiting");
    running.splice(running.indexOf(victim), 1);
    preemptions += 1;
    return victim;
  };

  const preemptForMemory = (running: Sequence[]): readonly GenerationId[] => {
    const preempted: GenerationId[] = [];
    const countReady = () => running.filter((one) => one.prefillLeft === 0).length;
    while (usedTokens + countReady() > profile.memoryTokens) {
      const victim = preemptOne(running);
      if (!victim) return preempted;
      preempted.push(victim.generation);
    }
    return preempted;
  };

  const step = (): StepResult => {
    const running = listByState("running");
    admitWaiting(running);
    const preempted = preemptForMemory(running);
    const ready = running.filter((sequence) => sequence.prefillLeft === 0);
    const computed = computePrompts(running);
    const finished: GenerationId[] = [];
    for (const sequence of ready) {
      sequence.generated += 1;
      usedTokens += 1;
      if (sequence.generated < sequence.length) continue;
      finished.push(sequence.generation);
      releaseMemory(sequence, "paused");
      sequences.delete(sequence.generation);
    }
    return {
      durationMs:
        profile.stepBaseMs +
        profile.stepPerStreamMs * ready.length +
        profile.prefillPerTokenMs * computed,
      advanced: ready.map((sequence) => sequence.generation),
      finished,
      preempted,
    };
  };

  return {
    /** Adds a waiting generation. */
    start: (start: SequenceStart) => {
      sequences.set(start.generation, {
        ...start,
        order: order++,
        state: "waiting",
        generated: 0,
        prefillLeft: 0,
      });
    },
    /** Removes a generation, if it exists. */
    cancel: (generation: GenerationId) => {
      const sequence = sequences.get(generation);
      if (!sequence) return;
      releaseMemory(sequence, "paused");
      sequences.delete(generation);
    },
    /** Takes a generation out of the batch, or puts it back among the waiting ones. */
    setPaused: (generation: GenerationId, isPaused: boolean) => {
      const sequence = sequences.get(generation);
      if (!sequence || isPaused === (sequence.state === "paused")) return;
      releaseMemory(sequence, isPaused ? "paused" : "waiting");
    },
    /** Runs one decoding step. */
    step,
    /** Whether any generation is running or waiting. */
    hasWork: () =>
      [...sequences.values()].some((sequence) => sequence.state !== "paused"),
    /** Counts for the load report. */
    getLoad: () => ({
      running: listByState("running").length,
      waiting: listByState("waiting").length,
      usedTokens,
      memoryTokens: profile.memoryTokens,
      preemptions,
    }),
    listCacheEvents: cache.listEvents,
  };
};
