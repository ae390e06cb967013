/**
 * Derives the time in which engines process prompts from the times at which runs are placed and
 * begin. It uses only prompts that had the engine to themselves from placement to first event, 60 %
 * of all in simulations: their times lie within 10 % of each other. Engines switch between prompts of
 * different urgency, so the others would need the engine's own order. A hub needs no message besides
 * the updates of runs.
 */
import { dropOldest, type ServiceName } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { MIN_PROMPT_TOKENS } from "./constants.js";
import type { PaceSample } from "./types.js";

/** The runs whose prompts wait or are processed, as one box knows them. */
export type ReadingTimer = Readonly<{
  /** A run was placed on an engine. */
  onPlaced: (
    run: Readonly<{
      server: ServerId;
      service: ServiceName;
      id: string;
      promptTokens: number;
    }>,
    now: number,
  ) => void;
  /** The first event of a run has arrived. */
  onBegun: (server: ServerId, id: string, now: number) => void;
  /** A run ended or moved away before its first event. */
  onEnded: (server: ServerId, id: string) => void;
  drop: (server: ServerId) => void;
}>;

type PlacedPrompt = Readonly<{ at: number; promptTokens: number; service: ServiceName }>;
type EngineReads = {
  readonly prompts: Map<string, PlacedPrompt>;
  /** The run whose prompt has the engine to itself since its placement; undefined if none has. */
  alone: string | undefined;
};

/** A prompt without any word for this long is forgotten: the end of its run was missed. */
const MAX_PROMPT_AGE_MS = 30_000;

/** Most runs that have begun on record, so that their continuations are told from new prompts. */
const MAX_BEGUN = 8_192;

/** Most engines and most prompts per engine on record; the oldest are dropped. */
const MAX_ENGINES = 512;
const MAX_PROMPTS = 64;

/** Creates a timer; `onSample` gets a `first_event` sample for each run whose prompt is long enough. */
export const createReadingTimer = (
  onSample: (sample: PaceSample) => void,
): ReadingTimer => {
  const engines = new Map<ServerId, EngineReads>();
  const begun = new Set<string>();

  const findEngine = (server: ServerId): EngineReads => {
    const known = engines.get(server);
    if (known) return known;
    const engine: EngineReads = { prompts: new Map(), alone: undefined };
    engines.set(server, engine);
    dropOldest(engines, MAX_ENGINES);
    return engine;
  };

  return {
    onPlaced: ({ server, service, id, promptTokens }, now) => {
      // A run that goes on at another engine has its prompt in the memory that was copied there.
      if (begun.has(id)) return;
      const engine = findEngine(server);
      const { prompts } = engine;
      // A box reports a run again when it changes; the first report is the placement.
      if (prompts.has(id)) return;
      for (const [known, { at }] of prompts)
        if (now - at > MAX_PROMPT_AGE_MS) prompts.delete(known);
      engine.alone = prompts.size === 0 ? id : undefined;
      prompts.set(id, { at: now, promptTokens, service });
      dropOldest(prompts, MAX_PROMPTS);
    },
    onBegun: (server, id, now) => {
      begun.add(id);
      dropOldest(begun, MAX_BEGUN);
      const engine = engines.get(server);
      const prompt = engine?.prompts.get(id);
      if (!engine || !prompt) return;
      engine.prompts.delete(id);
      const { at, promptTokens, service } = prompt;
      const tookMs = now - at;
      if (engine.alone !== id || tookMs <= 0 || promptTokens < MIN_PROMPT_TOKENS) return;
      onSample({
        kind: "first_event",
        server,
        service,
        tookMs,
        promptTokens,
        aheadTokens: 0,
      });
    },
    onEnded: (server, id) => void engines.get(server)?.prompts.delete(id),
    drop: (server) => void engines.delete(server),
  };
};
