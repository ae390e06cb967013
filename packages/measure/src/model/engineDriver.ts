/** Runs one stand-in engine's model on the virtual clock, and can kill it or stall its link. */
import type { Clock, GenerationId, Ms } from "@stairgauge/common";
import {
  createEngineModel,
  type EngineModel,
  type EngineProfile,
} from "@stairgauge/standins";
import type { Arrival, EngineTruth } from "./types.js";

/** What an engine tells the run. */
export type EngineDriverHandlers = Readonly<{
  onToken: (id: GenerationId, generated: number) => void;
  onFinished: (id: GenerationId, generated: number) => void;
  onPreempted: (count: number) => void;
  /** The engine died with this stream; `generated` tokens had left. */
  onLost: (id: GenerationId, generated: number) => void;
}>;

type Stream = { readonly arrival: Arrival; generated: number };

/** A running engine. */
export type EngineDriver = ReturnType<typeof createEngineDriver>;

/** Creates an engine without streams. */
export const createEngineDriver = (
  clock: Clock,
  profile: EngineProfile,
  handlers: EngineDriverHandlers,
) => {
  const streams = new Map<GenerationId, Stream>();
  let model: EngineModel = createEngineModel(profile);
  let isAlive = true;
  let isStepping = false;
  let isStalled = false;
  let life = 0;
  let held: (() => void)[] = [];

  /** What is told while the link is stalled arrives once it is not. */
  const tell = (send: () => void) => {
    if (isStalled) held.push(send);
    else send();
  };

  const applyStep = (
    advanced: readonly GenerationId[],
    finished: readonly GenerationId[],
  ) => {
    for (const id of advanced) {
      const stream = streams.get(id);
      if (!stream) continue;
      stream.generated += 1;
      const { generated } = stream;
      tell(() => handlers.onToken(id, generated));
    }
    for (const id of finished) {
      const generated = streams.get(id)?.generated ?? 0;
      streams.delete(id);
      tell(() => handlers.onFinished(id, generated));
    }
  };

  const run = () => {
    if (isStepping || !isAlive || !model.hasWork()) return;
    isStepping = true;
    const own = life;
    const result = model.step();
    if (result.preempted.length > 0) handlers.onPreempted(result.preempted.length);
    clock.setTimer(result.durationMs as Ms, () => {
      if (life !== own) return;
      isStepping = false;
      applyStep(result.advanced, result.finished);
      run();
    });
  };

  return {
    start: (arrival: Arrival, priority: number) => {
      if (!isAlive) {
        handlers.onLost(arrival.id, 0);
        return;
      }
      streams.set(arrival.id, { arrival, generated: 0 });
      model.start({
        generation: arrival.id,
        priority,
        promptTokens: arrival.promptTokens,
        length: arrival.length,
        prefix: arrival.prefix,
      });
      run();
    },
    kill: () => {
      isAlive = false;
      isStepping = false;
      life += 1;
      const lost = [...streams];
      streams.clear();
      model = createEngineModel(profile);
      for (const [id, { generated }] of lost) handlers.onLost(id, generated);
    },
    revive: () => {
      isAlive = true;
    },
    setStalled: (value: boolean) => {
      isStalled = value;
      const waiting = held;
      held = [];
      for (const send of waiting) tell(send);
    },
    isAlive: () => isAlive,
    getLoad: () => model.getLoad(),
    getTruth: (): EngineTruth => ({
      isAlive,
      streams: [...streams.values()].map(({ arrival, generated }) => ({
        promptTokens: arrival.promptTokens,
        generated,
        length: arrival.length,
      })),
    }),
  };
};
