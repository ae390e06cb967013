/**
 * Runs the model of the stand-in engine on a clock and keeps the generated tokens, so that readers can attach, detach and
 * resume from any index. It is used with a virtual clock as well as over HTTP.
 */
import {
  Err,
  Ok,
  type Clock,
  type GenerationId,
  type Ms,
  type Result,
} from "@stairgauge/common";
import type { EngineOrder, LoadReport, StartRequest } from "@stairgauge/engines";
import type { EngineFrame } from "@stairgauge/streams";
import { createEngineModel } from "./engineModel.js";
import type { EngineProfile } from "./engineTypes.js";
import { computeLength, findPrefix, generateToken } from "./syntheticText.js";

/** How long a finished generation can still be read. */
const FINISHED_RETENTION_MS = 60_000 as Ms;

/** Why the stand-in engine refused a call. */
export type EngineRefusal = Readonly<{
  kind:
    | "leaving"
    | "unknown_model"
    | "generation_gone"
    | "stale_fencing_token"
    | "order_too_late";
}>;

/** A reader of one generation. `notify` is called when there are new frames; the reader then gets them itself. */
export type HostReader = Readonly<{ notify: () => void }>;

type Generation = {
  readonly request: StartRequest;
  readonly tokens: string[];
  readonly readers: Set<HostReader>;
  end: Extract<EngineFrame, { kind: "end" }> | undefined;
  /** How often the last reader has detached. */
  detachCount: number;
};

/** Options of `createEngineHost`. */
export type EngineHostOptions = Readonly<{
  profile: EngineProfile;
  /** Names of the models that it serves. */
  models: readonly string[];
  /** Whether orders with an outdated fencing token are refused. */
  checksOrders: boolean;
  /** Seed of the answers' lengths. */
  seed: number;
  clock: Clock;
}>;

/** A running stand-in engine. */
export type EngineHost = ReturnType<typeof createEngineHost>;

/** Creates the host of one stand-in engine. */
export const createEngineHost = (options: EngineHostOptions) => {
  const { clock, profile, seed } = options;
  const model = createEngineModel(profile);
  const generations = new Map<GenerationId, Generation>();
  let isStepping = false;
  let isLeaving = false;
  let sequence = 0;
  let fencingToken = 0;
  let orders = 0;
  let started = 0;

  const notifyReaders = (generation: Generation) => {
    for (const reader of [...generation.readers]) reader.notify();
  };

  const finish = (id: GenerationId, generation: Generation) => {
    const { request, tokens } = generation;
    const reason = tokens.length >= request.maxTokens ? "length" : "stop";
    generation.end = {
      kind: "end",
      generation: id,
      reason,
      tokens: tokens.length,
      promptTokens: request.promptTokens,
    };
    clock.setTimer(FINISHED_RETENTION_MS, () => generations.delete(id));
  };

  const applyStep = (
    advanced: readonly GenerationId[],
    finished: readonly GenerationId[],
  ) => {
    for (const id of advanced) {
      const generation = generations.get(id);
      generation?.tokens.push(generateToken(id, generation.tokens.length));
    }
    for (const id of finished) {
      const generation = generations.get(id);
      if (generation) finish(id, generation);
    }
    for (const id of advanced) {
      const generation = generations.get(id);
      if (generation) notifyReaders(generation);
    }
  };

  const runSteps = () => {
    if (isStepping || !model.hasWork()) return;
    isStepping = true;
    const result = model.step();
    clock.setTimer(result.durationMs as Ms, () => {
      isStepping = false;
      applyStep(result.advanced, result.finished);
      runSteps();
    });
  };

  const cancel = (id: GenerationId) => {
    model.cancel(id);
    const generation = generations.get(id);
    generations.delete(id);
    if (generation) notifyReaders(generation);
  };

  const scheduleDetachedCancel = (id: GenerationId, generation: Generation) => {
    generation.detachCount += 1;
    const count = generation.detachCount;
    clock.setTimer(generation.request.detachGraceMs, () => {
      if (generation.detachCount === count && generation.readers.size === 0) cancel(id);
    });
  };

  const start = (request: StartRequest): Result<void, EngineRefusal> => {
    if (isLeaving) return Err({ kind: "leaving" });
    if (!options.models.includes(request.model)) return Err({ kind: "unknown_model" });
    if (generations.has(request.generation)) return Ok(undefined);
    started += 1;
    generations.set(request.generation, {
      request,
      tokens: [],
      readers: new Set(),
      end: undefined,
      detachCount: 0,
    });
    model.start({
      generation: request.generation,
      priority: request.priority,
      promptTokens: request.promptTokens,
      length: Math.min(request.maxTokens, computeLength(seed, request.prompt)),
      prefix: findPrefix(request),
    });
    runSteps();
    return Ok(undefined);
  };

  const applyOrder = (order: EngineOrder): Result<void, EngineRefusal> => {
    if (options.checksOrders && order.fencingToken < fencingToken) {
      return Err({ kind: "stale_fencing_token" });
    }
    if (order.deadlineAt < clock.now()) return Err({ kind: "order_too_late" });
    fencingToken = Math.max(fencingToken, order.fencingToken);
    orders += 1;
    return Ok(undefined);
  };

  return {
    start,
    cancel: (id: GenerationId, onlyIfDetached: boolean) => {
      const isRead = (generations.get(id)?.readers.size ?? 0) > 0;
      if (!(onlyIfDetached && isRead)) cancel(id);
    },
    setPaused: (id: GenerationId, isPaused: boolean): Result<void, EngineRefusal> => {
      if (!generations.has(id)) return Err({ kind: "generation_gone" });
      model.setPaused(id, isPaused);
      runSteps();
      return Ok(undefined);
    },
    /** Attaches a reader; returns false if the generation is unknown. */
    attach: (id: GenerationId, reader: HostReader): boolean => {
      const generation = generations.get(id);
      generation?.readers.add(reader);
      return generation !== undefined;
    },
    detach: (id: GenerationId, reader: HostReader) => {
      const generation = generations.get(id);
      if (!generation?.readers.delete(reader)) return;
      if (generation.readers.size === 0) scheduleDetachedCancel(id, generation);
    },
    /** Returns the frame at an index: a token, the end, or undefined if it does not exist yet; "gone" if the generation is unknown. */
    getFrame: (id: GenerationId, index: number): EngineFrame | "gone" | undefined => {
      const generation = generations.get(id);
      if (!generation) return "gone";
      const text = generation.tokens[index];
      if (text !== undefined) return { kind: "token", generation: id, index, text };
      return index >= generation.tokens.length ? generation.end : undefined;
    },
    getReport: (): LoadReport => {
      sequence += 1;
      return { sequence, ...model.getLoad(), isLeaving, fencingToken };
    },
    listCacheEvents: model.listCacheEvents,
    applyOrder,
    setLeaving: (value: boolean) => {
      isLeaving = value;
    },
    /** Counts for tests and for inspection by hand. */
    getCounts: () => ({ generations: generations.size, started, orders }),
  };
};
