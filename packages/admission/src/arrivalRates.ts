/** Rates at which requests of each tier arrive at a service. Pure but for the times passed in. */
import type { Ms } from "@stairgauge/common";
import { MAX_TIERS, RATE_DECAY_MS } from "./constants.js";

/** Arrivals of one service. */
export type ArrivalRates = Readonly<{
  record: (tier: number, now: Ms) => void;
  /** Arrivals per ms of the tiers that are at least as urgent (`includesTier`), or more urgent. */
  sumPerMs: (tier: number, includesTier: boolean, now: Ms) => number;
}>;

/** Creates rates of 0. */
export const createArrivalRates = (): ArrivalRates => {
  const arrivals = new Map<number, Readonly<{ weight: number; at: number }>>();
  const getWeight = (tier: number, now: Ms) => {
    const one = arrivals.get(tier);
    return one ? one.weight * Math.exp((one.at - now) / RATE_DECAY_MS) : 0;
  };

  return {
    record: (tier, now) => {
      const weight = getWeight(tier, now) + 1;
      if (arrivals.has(tier) || arrivals.size < MAX_TIERS)
        arrivals.set(tier, { weight, at: now });
    },
    sumPerMs: (tier, includesTier, now) => {
      let sum = 0;
      for (const one of arrivals.keys())
        if (one < tier || (includesTier && one === tier)) sum += getWeight(one, now);
      return sum / RATE_DECAY_MS;
    },
  };
};
