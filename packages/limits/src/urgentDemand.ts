/**
 * Reserves the capacity of limited servers for urgent requests.
 *
 * This matters when all servers of a service have named limits and several times as many requests
 * arrive. First come, first served would give most places to the most frequent kind of request.
 * Here a request gets a place only if enough places are left in the span, after subtracting those
 * that more urgent requests asked for in the last span and those already taken by requests of the
 * same or a lower rank.
 */
import type { Clock, ServiceName } from "@stairgauge/common";
import { SPAN_SECONDS } from "./constants.js";

/** Counts of requests that arrived at this box, and of those it sent to limited servers. */
export type UrgentDemand = Readonly<{
  /** Records the arrival of a request; tier 0 is the most urgent. */
  recordArrival: (service: ServiceName, tier: number) => void;
  /** Records that a request was sent to a limited server. */
  recordSent: (service: ServiceName, tier: number) => void;
  /**
   * Whether one more request of the tier may be sent if this box has `places` requests per span.
   */
  maySend: (service: ServiceName, tier: number, places: number) => boolean;
}>;

type Counts = Readonly<{ arrived: Map<number, number>; sent: Map<number, number> }>;
type Bucket = Counts & Readonly<{ service: ServiceName; second: number }>;

const MS_PER_S = 1_000;

/**
 * Seconds over which demand is counted: a whole span, and the current second, which has only just
 * begun.
 */
const DEMAND_SECONDS = SPAN_SECONDS + 1;

const sumTiers = (
  counts: ReadonlyMap<number, number>,
  isCounted: (tier: number) => boolean,
): number =>
  [...counts].reduce((sum, [tier, count]) => sum + (isCounted(tier) ? count : 0), 0);

/** Creates empty counts. */
export const createUrgentDemand = (clock: Pick<Clock, "monotonic">): UrgentDemand => {
  let buckets: readonly Bucket[] = [];

  const getSecond = () => Math.floor(clock.monotonic() / MS_PER_S);
  const listRecent = (service: ServiceName, seconds: number) =>
    buckets.filter(
      (one) => one.service === service && one.second > getSecond() - seconds,
    );
  const openBucket = (service: ServiceName): Bucket => {
    const second = getSecond();
    const current = buckets.find(
      (one) => one.service === service && one.second === second,
    );
    if (current) return current;
    const bucket = { service, second, arrived: new Map(), sent: new Map() };
    const kept = buckets.filter((one) => one.second > second - DEMAND_SECONDS);
    buckets = [...kept, bucket];
    return bucket;
  };
  const addOne = (counts: Map<number, number>, tier: number) =>
    void counts.set(tier, (counts.get(tier) ?? 0) + 1);

  return {
    recordArrival: (service, tier) => addOne(openBucket(service).arrived, tier),
    recordSent: (service, tier) => addOne(openBucket(service).sent, tier),
    maySend: (service, tier, places) => {
      const urgent = listRecent(service, DEMAND_SECONDS).map(({ arrived }) =>
        sumTiers(arrived, (one) => one < tier),
      );
      const taken = listRecent(service, SPAN_SECONDS).map(({ sent }) =>
        sumTiers(sent, (one) => one >= tier),
      );
      const sum = [...urgent, ...taken].reduce((total, count) => total + count, 0);
      return sum < places;
    },
  };
};
