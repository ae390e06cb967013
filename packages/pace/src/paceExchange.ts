/** Sends what a box has observed of service times to the boxes that it is linked to. */
import type { Clock, Ms, Timer } from "@stairgauge/common";
import type { PaceRegistry } from "./paceRegistry.js";
import type { SharedPace } from "./types.js";

/** Options of the exchange. */
export type PaceExchangeOptions = Readonly<{
  clock: Pick<Clock, "setTimer">;
  registry: Pick<PaceRegistry, "takeChanges" | "listUneven">;
  /** Sends new observations to all boxes that this box is linked to. */
  sendUpdate: (paces: readonly SharedPace[]) => void;
  /** Sends estimates to all boxes that are linked to this box. */
  sendNotice: (paces: readonly SharedPace[]) => void;
  /** Whether other boxes are linked to this one only, so that they depend on its estimates. */
  isHub: () => boolean;
}>;

/** A running exchange. */
export type PaceExchange = Readonly<{ stop: () => void }>;

/**
 * A change is known half a second later on average, a fraction of the 4 s in which it has to be followed.
 * Twice as often, these updates cost a hub as much processor time as all others.
 */
const UPDATE_INTERVAL_MS = 1_000 as Ms;

/** Starts the exchange; nothing is sent where there are no new samples and no uneven services. */
export const createPaceExchange = (options: PaceExchangeOptions): PaceExchange => {
  const { clock, registry, sendUpdate, sendNotice, isHub } = options;
  let timer: Timer;
  const tick = () => {
    timer = clock.setTimer(UPDATE_INTERVAL_MS, tick);
    const changes = registry.takeChanges();
    if (changes.length > 0) sendUpdate(changes);
    if (isHub()) {
      const uneven = registry.listUneven();
      if (uneven.length > 0) sendNotice(uneven);
    }
  };
  timer = clock.setTimer(UPDATE_INTERVAL_MS, tick);
  return { stop: () => timer.cancel() };
};
