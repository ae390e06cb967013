/**
 * The stand-in engine's model: continuous batching in limited memory, steppable and without time.
 *
 * Each step computes some prompt tokens, gives every running stream one token, and pushes the
 * least urgent streams aside when memory fills. A stream pushed aside recomputes all its tokens.
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

/** A stand-in engine without clock or network. */
export type EngineModel = ReturnType<typeof createEngineModel>;

const getHeldTokens = (sequence: Sequence): number =>
  sequence.promptTokens + sequence.generated;

/** Most urgent first, then first come. */
const compareUrgency = (a: Sequence, b: Sequence): number =>
  a.priority - b.priority || a.order - b.order;

/** Creates an engine that holds nothing. */
export const createEngineModel = (profile: EngineProfile) => {
  const sequences = new Map<GenerationId, Sequence>();
  const cache = createPrefixCache(profile.prefixCacheTokens);
  let usedTokens = 0;
  let order = 0;
  let preemptions = 0;

  const listByState = (state: SequenceState): Sequence[] =>
    [...sequences.values()].filter((sequence) => sequence.state === state);

  const releaseMemory = (sequence: Sequence, state: SequenceState) => {
    if (sequence.state === "running") usedTokens -= getHeldTokens(sequence);
    sequence.state = state;
  };

  const admitWaiting = (running: Sequence[]) => {
    const waiting = listByState("waiting").sort(compareUrgency);
    for (const sequence of waiting) {
      const needed = getHeldTokens(sequence) + 1;
      if (running.length >= profile.maxRunning) return;
      if (usedTokens + needed > profile.memoryTokens) return;
      const cached = cache.touch(sequence.prefix);
      sequence.prefillLeft = Math.max(1, getHeldTokens(sequence) - cached);
      sequence.state = "running";
      usedTokens += getHeldTokens(sequence);
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

  const makeRoom = (running: Sequence[]): readonly GenerationId[] => {
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
    const preempted = makeRoom(running);
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
    /** Adds a generation to the waiting ones. */
    start: (start: SequenceStart) => {
      sequences.set(start.generation, {
        ...start,
        order: order++,
        state: "waiting",
        generated: 0,
        prefillLeft: 0,
      });
    },
    /** Forgets a generation. */
    cancel: (generation: GenerationId) => {
      const sequence = sequences.get(generation);
      if (!sequence) return;
      releaseMemory(sequence, "paused");
      sequences.delete(generation);
    },
    /** Takes a generation out of the batch, or lets it wait to be taken in again. */
    setPaused: (generation: GenerationId, isPaused: boolean) => {
      const sequence = sequences.get(generation);
      if (!sequence || isPaused === (sequence.state === "paused")) return;
      releaseMemory(sequence, isPaused ? "paused" : "waiting");
    },
    /** Runs one decoding step. */
    step,
    /** Whether a step would do anything. */
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
