/** Collects the results of a run, including waiting, refused and unfinished streams. */
import { build, type Histogram } from "hdr-histogram-js";
import type { Arrival } from "./types.js";

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const PER_THOUSAND = 1_000;
const SIGNIFICANT_DIGITS = 3;

/** A gap longer than this is a stall, and its whole length counts as stall time. */
export const STALL_FROM_MS = 250;

/** Percentiles of a distribution. */
type Percentiles = Readonly<Record<"p50" | "p95" | "p99", number>>;

/** Results of one tier. */
export type TierReport = Readonly<{
  arrived: number;
  completed: number;
  refused: number;
  unfinished: number;
  lost: number;
  firstTokenMs: Percentiles;
  gapMs: Percentiles & Readonly<{ p999: number }>;
  stallSecondsPerStream: Percentiles & Readonly<{ mean: number }>;
}>;

/** Results of one policy. */
export type PolicyReport = TierReport &
  Readonly<{
    waiting: number;
    preemptionsPerThousandStreams: number;
    tokensPerSecond: number;
    byTier: Readonly<Record<string, TierReport>>;
  }>;

type Collector = {
  arrived: number;
  completed: number;
  refused: number;
  lost: number;
  tokens: number;
  stallMs: number;
  readonly firstToken: Histogram;
  readonly gap: Histogram;
  readonly stall: Histogram;
};

type StreamState = {
  readonly arrival: Arrival;
  readonly collectors: readonly Collector[];
  lastTokenAt: number;
  stallMs: number;
  isOpen: boolean;
};

const createHistogram = () =>
  build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 64 });

const createCollector = (): Collector => ({
  arrived: 0,
  completed: 0,
  refused: 0,
  lost: 0,
  tokens: 0,
  stallMs: 0,
  firstToken: createHistogram(),
  gap: createHistogram(),
  stall: createHistogram(),
});

const toMs = (histogram: Histogram, percentile: number): number =>
  Number((histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(1));

const renderPercentiles = (histogram: Histogram): Percentiles => ({
  p50: toMs(histogram, 50),
  p95: toMs(histogram, 95),
  p99: toMs(histogram, 99),
});

const renderTier = (collector: Collector): TierReport => {
  const { arrived, completed, refused, lost, stall } = collector;
  const toSeconds = (percentile: number) => toMs(stall, percentile) / MS_PER_SECOND;
  const streams = Math.max(1, arrived - refused);
  return {
    arrived,
    completed,
    refused,
    unfinished: arrived - completed - refused - lost,
    lost,
    firstTokenMs: renderPercentiles(collector.firstToken),
    gapMs: { ...renderPercentiles(collector.gap), p999: toMs(collector.gap, 99.9) },
    stallSecondsPerStream: {
      mean: Number((collector.stallMs / MS_PER_SECOND / streams).toFixed(4)),
      p50: toSeconds(50),
      p95: toSeconds(95),
      p99: toSeconds(99),
    },
  };
};

/** Creates an empty collector for one run. Times are milliseconds of the virtual clock. */
export const createStatistics = () => {
  const all = createCollector();
  const byTier = new Map<string, Collector>();
  const streams = new Map<string, StreamState>();
  let preemptions = 0;

  const getCollector = (tier: string): Collector => {
    const collector = byTier.get(tier) ?? createCollector();
    byTier.set(tier, collector);
    return collector;
  };
  const finish = (state: StreamState, count: (collector: Collector) => void) => {
    state.isOpen = false;
    for (const collector of state.collectors) {
      count(collector);
      collector.stall.recordValue(state.stallMs * MICROSECONDS_PER_MS);
    }
  };

  return {
    recordArrival: (arrival: Arrival) => {
      const collectors = [all, getCollector(arrival.tier)];
      for (const collector of collectors) collector.arrived += 1;
      const state = { arrival, collectors, lastTokenAt: 0, stallMs: 0, isOpen: true };
      streams.set(arrival.id, state);
    },
    recordToken: (id: string, now: number) => {
      const state = streams.get(id);
      if (!state) return;
      const isFirst = state.lastTokenAt === 0;
      const gap = now - (isFirst ? state.arrival.at : state.lastTokenAt);
      state.lastTokenAt = now;
      const isStall = !isFirst && gap > STALL_FROM_MS;
      if (isStall) state.stallMs += gap;
      for (const collector of state.collectors) {
        collector.tokens += 1;
        if (isStall) collector.stallMs += gap;
        (isFirst ? collector.firstToken : collector.gap).recordValue(
          gap * MICROSECONDS_PER_MS,
        );
      }
    },
    recordCompleted: (id: string) => {
      const state = streams.get(id);
      if (state) finish(state, (collector) => (collector.completed += 1));
    },
    recordLost: (id: string) => {
      const state = streams.get(id);
      if (state) finish(state, (collector) => (collector.lost += 1));
    },
    recordRefused: (id: string) => {
      const state = streams.get(id);
      if (!state) return;
      state.isOpen = false;
      for (const collector of state.collectors) collector.refused += 1;
    },
    recordPreemptions: (count: number) => {
      preemptions += count;
    },
    /** Records, for each stream still open at the end, the caller's wait since the newest token or since the arrival. */
    closeAt: (now: number) => {
      for (const state of streams.values()) {
        if (!state.isOpen) continue;
        const hasBegun = state.lastTokenAt > 0;
        const since = now - (hasBegun ? state.lastTokenAt : state.arrival.at);
        for (const collector of state.collectors) {
          const histogram = hasBegun ? collector.gap : collector.firstToken;
          if (!hasBegun || since > STALL_FROM_MS)
            histogram.recordValue(since * MICROSECONDS_PER_MS);
          if (hasBegun && since > STALL_FROM_MS) collector.stallMs += since;
        }
      }
    },
    render: (seconds: number, waiting: number): PolicyReport => ({
      ...renderTier(all),
      waiting,
      preemptionsPerThousandStreams: Number(
        ((preemptions * PER_THOUSAND) / Math.max(1, all.arrived - all.refused)).toFixed(
          2,
        ),
      ),
      tokensPerSecond: Number((all.tokens / seconds).toFixed(1)),
      byTier: Object.fromEntries(
        [...byTier].sort().map(([tier, collector]) => [tier, renderTier(collector)]),
      ),
    }),
  };
};
