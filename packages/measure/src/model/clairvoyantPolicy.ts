/** Upper bound for the other policies: one queue for the whole site, with the exact lengths and engine states. */
import type { GenerationId } from "@stairgauge/common";
import type { Arrival, EngineState, Policy, PolicySetting } from "./types.js";

type StreamSize = Readonly<{ promptTokens: number; generated: number; length: number }>;

/** Returns the highest future memory use in tokens, if every stream generates one token per step until its end. */
const computePeak = (streams: readonly StreamSize[]): number => {
  const byEnd = streams
    .map((one) => ({
      left: one.length - one.generated,
      held: one.promptTokens + one.generated,
    }))
    .sort((a, b) => a.left - b.left);
  let held = byEnd.reduce((sum, one) => sum + one.held, 0);
  let steps = 0;
  let peak = held;
  byEnd.forEach((one, i) => {
    const remaining = byEnd.length - i;
    held += remaining * (one.left - steps);
    steps = one.left;
    peak = Math.max(peak, held);
    held -= one.held + one.left;
  });
  return peak;
};

/** Creates the clairvoyant policy. */
export const createClairvoyantPolicy = (setting: PolicySetting): Policy => {
  const { profile, actions } = setting;
  const waiting: Arrival[] = [];
  const leaving = new Set<number>();
  const arrivals = new Map<GenerationId, Arrival>();
  const { memoryTokens, maxRunning } = profile.engine;

  const fits = (state: EngineState, arrival: Arrival): boolean => {
    const streams = [...state.streams, { ...arrival, generated: 0 }];
    return streams.length <= maxRunning && computePeak(streams) <= memoryTokens;
  };
  const choose = (arrival: Arrival): number | undefined => {
    let best: Readonly<{ engine: number; streams: number }> | undefined;
    for (let engine = 0; engine < profile.engines; engine += 1) {
      const state = setting.getEngineState(engine);
      if (!state.isAlive || leaving.has(engine) || !fits(state, arrival)) continue;
      const streams = state.streams.length;
      if (!best || streams < best.streams) best = { engine, streams };
    }
    return best?.engine;
  };
  const drain = () => {
    for (let i = 0; i < waiting.length;) {
      const arrival = waiting[i]!;
      const engine = choose(arrival);
      // NOTE: within a tier no request overtakes the first one, so that none starves.
      if (engine === undefined) {
        while (i < waiting.length && waiting[i]!.rank === arrival.rank) i += 1;
        continue;
      }
      waiting.splice(i, 1);
      actions.place(arrival.id, engine, arrival.rank);
    }
  };
  const add = (arrival: Arrival) => {
    const at = waiting.findIndex((one) => one.rank > arrival.rank);
    waiting.splice(at < 0 ? waiting.length : at, 0, arrival);
    drain();
  };

  return {
    handleArrival: (arrival) => {
      arrivals.set(arrival.id, arrival);
      add(arrival);
    },
    handleProgress: () => undefined,
    handleEnd: (id) => {
      arrivals.delete(id);
      drain();
    },
    handleFailure: (id) => {
      const arrival = arrivals.get(id);
      if (arrival) add(arrival);
    },
    handleReport: () => undefined,
    handleMark: (engine, isLeaving) => {
      if (isLeaving) leaving.add(engine);
      else leaving.delete(engine);
    },
    handleBoxLoss: () => undefined,
    handleTick: drain,
    countWaiting: () => waiting.length,
  };
};
