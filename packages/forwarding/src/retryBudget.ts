/** How often requests may be sent to a second server, over a sliding window. Pure but for the time handed in. */
import type { Ms, ServiceName } from "@stairgauge/common";

/** The bound that all boxes share, and this box's part of it. */
export type RetryBudgetLimits = Readonly<{
  /** Repeats allowed for each request of the window. */
  ratio: number;
  /** Repeats allowed besides, at this box. */
  slack: number;
  window: Ms;
}>;

/** Counts requests and repeats by service. */
export type RetryBudget = Readonly<{
  recordRequest: (service: ServiceName, now: Ms) => void;
  /** Takes a repeat from the budget; false when none is left. */
  take: (service: ServiceName, now: Ms) => boolean;
}>;

type ServiceCounts = Readonly<{ requests: number[]; repeats: number[] }>;

const dropBefore = (times: number[], start: number) => {
  let old = 0;
  while (old < times.length && times[old]! < start) old += 1;
  if (old > 0) times.splice(0, old);
};

/** Creates a budget with nothing spent. */
export const createRetryBudget = (getLimits: () => RetryBudgetLimits): RetryBudget => {
  const counts = new Map<ServiceName, ServiceCounts>();

  const getCounts = (service: ServiceName, now: Ms): ServiceCounts => {
    const known = counts.get(service) ?? { requests: [], repeats: [] };
    counts.set(service, known);
    const start = now - getLimits().window;
    dropBefore(known.requests, start);
    dropBefore(known.repeats, start);
    return known;
  };

  return {
    recordRequest: (service, now) => void getCounts(service, now).requests.push(now),
    take: (service, now) => {
      const { ratio, slack } = getLimits();
      const { requests, repeats } = getCounts(service, now);
      if (repeats.length + 1 > ratio * requests.length + slack) return false;
      repeats.push(now);
      return true;
    },
  };
};
