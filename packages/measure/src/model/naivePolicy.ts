/** Baseline policy: each box sends at once to the engine with its fewest outstanding requests; priority is the tier's rank. */
import type { GenerationId } from "@stairgauge/common";
import type { Arrival, Policy, PolicySetting } from "./types.js";

/** Creates the naive policy. */
export const createNaivePolicy = ({ profile, boxes, actions }: PolicySetting): Policy => {
  const outstanding = Array.from({ length: boxes }, () =>
    Array.from({ length: profile.engines }, () => 0),
  );
  const leaving = new Set<number>();
  const placed = new Map<GenerationId, Readonly<{ arrival: Arrival; engine: number }>>();
  let turn = 0;

  const place = (arrival: Arrival, except?: number) => {
    const counts = outstanding[arrival.box]!;
    turn += 1;
    // Ties are broken round-robin.
    const order = counts.map((_, i) => (i + turn) % counts.length);
    const usable = order.filter((engine) => engine !== except && !leaving.has(engine));
    const engine = usable.reduce((least, one) =>
      counts[one]! < counts[least]! ? one : least,
    );
    counts[engine]! += 1;
    placed.set(arrival.id, { arrival, engine });
    actions.place(arrival.id, engine, arrival.rank);
  };
  const release = (id: GenerationId): Arrival | undefined => {
    const entry = placed.get(id);
    if (!entry) return undefined;
    placed.delete(id);
    outstanding[entry.arrival.box]![entry.engine]! -= 1;
    return entry.arrival;
  };

  return {
    handleArrival: (arrival) => place(arrival),
    handleProgress: () => undefined,
    handleEnd: (id) => void release(id),
    handleFailure: (id, engine) => {
      const arrival = release(id);
      if (arrival) place(arrival, engine);
    },
    handleReport: () => undefined,
    handleMark: (engine, isLeaving) => {
      if (isLeaving) leaving.add(engine);
      else leaving.delete(engine);
    },
    handleBoxLoss: (box) => outstanding[box]!.fill(0),
    handleTick: () => undefined,
    countWaiting: () => 0,
  };
};
