/** Limits how often requests are sent to another server, over a sliding window. The caller passes the time. */
import type { Ms, ServiceName } from "@stairgauge/common";

/** Limits of the budget: the ratio is the same at all boxes, the slack is this box's share. */
export type RetryBudgetLimits = Readonly<{
  /** Repeats allowed per request in the window. */
  ratio: number;
  /** Additional repeats allowed in the window, regardless of the number of requests. */
  slack: number;
  window: Ms;
}>;

/** Counts the requests and repeats of each service. */
export type RetryBudget = Readonly<{
  recordRequest: (service: ServiceName, now: Ms) => void;
  /** Whether a repeat is left in the budget. */
  has: (service: ServiceName, now: Ms) => boolean;
  /** Takes one repeat from the budget; false if it is used up. */
  take: (service: ServiceName, now: Ms) => boolean;
}>;

type ServiceCounts = Readonly<{ requests: number[]; repeats: number[] }>;

const dropBefore = (times: number[], start: number) => {
  let old = 0;
  while (old < times.length && times[old]! < start) old += 1;
  if (old > 0) times.splice(0, old);
};

/** Creates an unused budget. */
export const createRetryBudget = (getLimits: () => RetryBudgetLimits): RetryBudget => {
  const counts = new Map<ServiceName, ServiceCounts>();

  const getCounts = (service: ServiceName, now: Ms): ServiceCounts => {
    const serviceCounts = counts.get(service) ?? { requests: [], repeats: [] };
    counts.set(service, serviceCounts);
    const start = now - getLimits().window;
    dropBefore(serviceCounts.requests, start);
    dropBefore(serviceCounts.repeats, start);
    return serviceCounts;
  };

  const has = (service: ServiceName, now: Ms): boolean => {
    const { ratio, slack } = getLimits();
    const { requests, repeats } = getCounts(service, now);
    return repeats.length + 1 <= ratio * requests.length + slack;
  };
  return {
    recordRequest: (service, now) => void getCounts(service, now).requests.push(now),
    has,
    take: (service, now) => {
      if (!has(service, now)) return false;
      getCounts(service, now).repeats.push(now);
      return true;
    },
  };
};
