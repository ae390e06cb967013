/** Predicts the waits of requests, and when refused clients should retry. Pure apart from the clock. */
import type { Clock, Ms, ServiceName } from "@stairgauge/common";
import { computeRemainingRate, decideWaiting } from "./decideWaiting.js";
import type { FairShares } from "./fairShares.js";
import type { RateEstimate } from "./freeRate.js";
import { estimatePosition, type Waiting } from "./orderEntries.js";
import { createServiceRates } from "./serviceRates.js";
import type { AdmissionRefusal, PlainEntry, WaitForecast } from "./types.js";

/** Options of the forecasts. */
export type ForecasterOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  shares: FairShares;
  retryAfter: Ms;
  countSlots?: (service: ServiceName) => number | undefined;
}>;

const MS_PER_S = 1_000;

/** Creates forecasts without observations. */
export const createForecaster = (options: ForecasterOptions) => {
  const { clock, shares, retryAfter, countSlots = () => undefined } = options;
  const openRates = createServiceRates(retryAfter);

  const estimateRate = ({ service, workMs }: PlainEntry): RateEstimate | undefined => {
    const slots = countSlots(service);
    const expected = slots === undefined ? undefined : slots / Math.max(1, workMs);
    return openRates(service).free.estimate(clock.monotonic(), expected);
  };
  const describeRate = (estimate: RateEstimate | undefined) => ({
    ratePerSecond: estimate && estimate.perMs * MS_PER_S,
    rateAge: estimate?.age,
  });
  const decidePlain = (entry: PlainEntry, position: number) => {
    const now = clock.monotonic();
    const { arrivals } = openRates(entry.service);
    const estimate = estimateRate(entry);
    const decision = decideWaiting({
      now,
      entry,
      position,
      rate: estimate?.perMs,
      arrivalsAbove: arrivals.sumPerMs(entry.tier, false, now),
      arrivalsUpTo: arrivals.sumPerMs(entry.tier, true, now),
    });
    return { ...decision, position, ...describeRate(estimate) };
  };

  return {
    recordArrival: ({ service, tier }: PlainEntry) =>
      openRates(service).arrivals.record(tier, clock.monotonic()),
    recordFree: (service: ServiceName, freed: number) =>
      openRates(service).free.record(freed, clock.monotonic()),
    /** Records whether the service has no free slot from now on. */
    setBusy: (service: ServiceName, isBusy: boolean) =>
      openRates(service).free.setBusy(isBusy, clock.monotonic()),
    estimatePosition: (waiting: Waiting, others: Iterable<Waiting>): number =>
      estimatePosition(waiting, others, shares, clock.monotonic()),
    forecast: ({ entry }: Waiting, position: number): WaitForecast => {
      if (entry.kind === "plain") {
        const { expectedWait, ratePerSecond, rateAge } = decidePlain(entry, position);
        return { position, expectedWait, ratePerSecond, rateAge };
      }
      const unknown = { ratePerSecond: undefined, rateAge: undefined };
      return { position, expectedWait: undefined, ...unknown };
    },
    decide: (
      { entry }: Readonly<{ entry: PlainEntry }>,
      position: number,
    ): WaitForecast & Readonly<{ refusal: AdmissionRefusal | undefined }> =>
      decidePlain(entry, position),
    /** Plans when the client of a request that is refused now should retry. */
    planRetry: (entry: PlainEntry, waiting: number): Ms => {
      const now = clock.monotonic();
      const { arrivals, retries } = openRates(entry.service);
      const rate = estimateRate(entry)?.perMs;
      const above = arrivals.sumPerMs(entry.tier, false, now);
      const left = rate === undefined ? 0 : computeRemainingRate(rate, above);
      const interval = left > 0 ? ((1 / left) as Ms) : undefined;
      const queueEnd = (interval === undefined ? 0 : waiting * interval) as Ms;
      return retries.plan({ now, queueEnd, interval });
    },
  };
};
