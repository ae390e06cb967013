/** The bound: one queue for the site, every length known, every engine's state known as it is. */
import type { GenerationId } from "@stairgauge/common";
import type { Arrival, EngineTruth, Policy, PolicySetting } from "./types.js";

type Held = Readonly<{ promptTokens: number; generated: number; length: number }>;

/** Highest memory use ahead, if every stream gains a token a step until its known end. */
const computePeak = (streams: readonly Held[]): number => {
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
    const alive = byEnd.length - i;
    held += alive * (one.left - steps);
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
  /** Placed in this very moment, before the engine shows it. */
  const { memoryTokens, maxRunning } = profile.engine;

  const fits = (truth: EngineTruth, arrival: Arrival): boolean => {
    const streams = [...truth.streams, { ...arrival, generated: 0 }];
    return streams.length <= maxRunning && computePeak(streams) <= memoryTokens;
  };
  const choose = (arrival: Arrival): number | undefined => {
    let best: Readonly<{ engine: number; streams: number }> | undefined;
    for (let engine = 0; engine < profile.engines; engine += 1) {
      const truth = setting.getTruth(engine);
      if (!truth.isAlive || leaving.has(engine) || !fits(truth, arrival)) continue;
      const streams = truth.streams.length;
      if (!best || streams < best.streams) best = { engine, streams };
    }
    return best?.engine;
  };
  const drain = () => {
    for (let i = 0; i < waiting.length;) {
      const arrival = waiting[i]!;
      const engine = choose(arrival);
      // NOTE: the head of the line is not overtaken within its tier, so that nothing starves.
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
