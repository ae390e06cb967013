/** Rates and retry times of each service: what the decisions of the queue are derived from. */
import type { Ms, ServiceName } from "@stairgauge/common";
import { createArrivalRates, type ArrivalRates } from "./arrivalRates.js";
import { MAX_SERVICES } from "./constants.js";
import { createFreeRate, type FreeRate } from "./freeRate.js";
import { createRetryPlanner, type RetryPlanner } from "./retryPlanner.js";

/** What is known of one service. */
export type ServiceRates = Readonly<{
  arrivals: ArrivalRates;
  free: FreeRate;
  retries: RetryPlanner;
}>;

/** Creates the rates of all services; the least recently opened are evicted. */
export const createServiceRates = (pause: Ms) => {
  const services = new Map<ServiceName, ServiceRates>();
  return (service: ServiceName): ServiceRates => {
    const rates = services.get(service) ?? {
      arrivals: createArrivalRates(),
      free: createFreeRate(),
      retries: createRetryPlanner(pause),
    };
    services.delete(service);
    services.set(service, rates);
    if (services.size > MAX_SERVICES) services.delete(services.keys().next().value!);
    return rates;
  };
};
