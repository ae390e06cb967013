/**
 * Whom the little goes to that servers in need take. The load: all servers of a service have named limits, and several times as many
 * requests come. First come first served would give the places to whatever is asked for most; so a request gets one only if the
 * places of a span, less those that more urgent requests asked for in the last one, have not gone to others of its rank or below.
 */
import type { Clock, ServiceName } from "@stairgauge/common";
import { SPAN_SECONDS } from "./constants.js";

/** What one box is asked for, and what it has sent to servers in need. */
export type UrgentDemand = Readonly<{
  /** A request of the rank has come; 0 is the most urgent. */
  recordArrival: (service: ServiceName, tier: number) => void;
  /** It goes to a server in need. */
  recordSent: (service: ServiceName, tier: number) => void;
  /** Whether one more of the rank may go, where this box has so many places in a span. */
  mayTake: (service: ServiceName, tier: number, places: number) => boolean;
}>;

type Counts = Readonly<{ arrived: Map<number, number>; sent: Map<number, number> }>;
type Bucket = Counts & Readonly<{ service: ServiceName; second: number }>;

const MS_PER_S = 1_000;

/** The second that has just begun says little yet: demand is counted over a whole span beside it. */
const DEMAND_SECONDS = SPAN_SECONDS + 1;

const sumTiers = (
  counts: ReadonlyMap<number, number>,
  isIn: (tier: number) => boolean,
): number =>
  [...counts].reduce((sum, [tier, count]) => sum + (isIn(tier) ? count : 0), 0);

/** Creates a demand of nothing. */
export const createUrgentDemand = (clock: Pick<Clock, "monotonic">): UrgentDemand => {
  let buckets: readonly Bucket[] = [];

  const getSecond = () => Math.floor(clock.monotonic() / MS_PER_S);
  const listRecent = (service: ServiceName, seconds: number) =>
    buckets.filter(
      (one) => one.service === service && one.second > getSecond() - seconds,
    );
  const openBucket = (service: ServiceName): Bucket => {
    const second = getSecond();
    const open = buckets.find((one) => one.service === service && one.second === second);
    if (open) return open;
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
    mayTake: (service, tier, places) => {
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
