/**
 * Turns the gaps between the events of one stream into samples, about one per second. Per event it
 * costs a few comparisons and additions; a sample is created only at the end of a span.
 */
import type { PaceSample } from "./types.js";

/** The gaps of one sample. */
type EventGaps = Omit<Extract<PaceSample, { kind: "events" }>, "server" | "service">;

/** Options of a sampler. */
export type EventSamplerOptions = Readonly<{
  /** Longest gap that the route allows; undefined if it names none. */
  targetMs: number | undefined;
  onSample: (gaps: EventGaps) => void;
  /** The server is in a slow period in which it would exceed the target if it processed a prompt. */
  onSlow: () => void;
}>;

/** The gaps of one stream. */
export type EventSampler = Readonly<{
  /** An event has arrived at `now`, on a monotonic clock. */
  onEvent: (now: number) => void;
  /**
   * The stream has moved to another server, or the next gap isn't the server's: reports what was
   * gathered, and counts no gap before the next event.
   */
  reset: () => void;
}>;

/** Span of one sample. */
const SPAN_MS = 1_000;

/** A sample of fewer gaps is not reported: its mean says little. */
const MIN_GAPS = 2;

/**
 * Events take about twice as long while the engine processes a prompt, and 2.5 times as long in a slow
 * period; a gap above this factor of the shortest one shows a slow period.
 */
const SLOW_GAP_FACTOR = 2.3;

/** The shortest gap is forgotten at this rate per event, since gaps grow with the engine's streams. */
const FLOOR_GROWTH = 1.02;

/**
 * Gaps below this share of the target are no sign: with a prompt they would about double, and still
 * be below the target.
 */
const SLOW_TARGET_SHARE = 0.42;

/** Shortest interval of signs of one stream; periods of half a second are worth two signs. */
const SLOW_INTERVAL_MS = 250;

/** Creates a sampler for one stream at one server. */
export const createEventSampler = ({
  targetMs = Infinity,
  onSample,
  onSlow,
}: EventSamplerOptions): EventSampler => {
  const minSlowMs = targetMs * SLOW_TARGET_SHARE;
  let firstAt: number | undefined;
  let lastAt = 0;
  let gaps = 0;
  let longestMs = 0;
  let aboveTarget = 0;
  /** About the shortest gap of late: the time of an event while no prompt is processed. */
  let floorMs = Infinity;
  let slowAt = -Infinity;

  const detectSlow = (gap: number, now: number) => {
    const isSlow = gap > SLOW_GAP_FACTOR * floorMs && gap > minSlowMs;
    floorMs = Math.min(floorMs * FLOOR_GROWTH, gap);
    if (!isSlow || now - slowAt < SLOW_INTERVAL_MS) return;
    slowAt = now;
    onSlow();
  };
  const clear = () => {
    firstAt = lastAt;
    gaps = 0;
    longestMs = 0;
    aboveTarget = 0;
  };
  const emitSample = () => {
    if (firstAt === undefined || gaps < MIN_GAPS) return;
    const meanMs = (lastAt - firstAt) / gaps;
    if (meanMs > 0) onSample({ kind: "events", gaps, meanMs, longestMs, aboveTarget });
    clear();
  };

  return {
    onEvent: (now) => {
      if (firstAt === undefined) {
        firstAt = now;
        lastAt = now;
        return;
      }
      const gap = now - lastAt;
      lastAt = now;
      gaps += 1;
      if (gap > longestMs) longestMs = gap;
      detectSlow(gap, now);
      if (gap > targetMs) aboveTarget += 1;
      if (now - firstAt >= SPAN_MS) emitSample();
    },
    reset: () => {
      emitSample();
      clear();
      firstAt = undefined;
      floorMs = Infinity;
    },
  };
};
