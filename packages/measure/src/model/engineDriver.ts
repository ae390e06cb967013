/** Runs the model of one stand-in engine on the virtual clock; it can be killed, and its link stalled. */
import type { Clock, GenerationId, Ms } from "@stairgauge/common";
import {
  createEngineModel,
  type EngineModel,
  type EngineProfile,
} from "@stairgauge/standins";
import type { Arrival, EngineState } from "./types.js";

/** Callbacks of an engine; `generated` is the number of tokens of the stream so far. */
export type EngineDriverHandlers = Readonly<{
  onToken: (id: GenerationId, generated: number) => void;
  onFinished: (id: GenerationId, generated: number) => void;
  onPreempted: (count: number) => void;
  /** The engine died with this stream, after it had sent `generated` tokens. */
  onLost: (id: GenerationId, generated: number) => void;
}>;

type Stream = { readonly arrival: Arrival; generated: number };

/** A simulated engine. */
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
  let killCount = 0;
  let heldCallbacks: (() => void)[] = [];

  /** Runs the callback at once, or when the link is no longer stalled. */
  const notify = (callback: () => void) => {
    if (isStalled) heldCallbacks.push(callback);
    else callback();
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
      notify(() => handlers.onToken(id, generated));
    }
    for (const id of finished) {
      const generated = streams.get(id)?.generated ?? 0;
      streams.delete(id);
      notify(() => handlers.onFinished(id, generated));
    }
  };

  const run = () => {
    if (isStepping || !isAlive || !model.hasWork()) return;
    isStepping = true;
    const killCountAtStart = killCount;
    const result = model.step();
    if (result.preempted.length > 0) handlers.onPreempted(result.preempted.length);
    clock.setTimer(result.durationMs as Ms, () => {
      if (killCount !== killCountAtStart) return;
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
      killCount += 1;
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
      const callbacks = heldCallbacks;
      heldCallbacks = [];
      for (const send of callbacks) notify(send);
    },
    isAlive: () => isAlive,
    getLoad: () => model.getLoad(),
    getEngineState: (): EngineState => ({
      isAlive,
      streams: [...streams.values()].map(({ arrival, generated }) => ({
        promptTokens: arrival.promptTokens,
        generated,
        length: arrival.length,
      })),
    }),
  };
};
