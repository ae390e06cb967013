/** Measures the time per decision at several numbers of boxes. */
import { median } from "simple-statistics";

/** A decision of a box. */
export type DecisionDescriptor = Readonly<{
  name: string;
  /**
   * Prepares the state at a box of a site with this many boxes. Returns a function that makes the
   * decision number `i`.
   */
  prepare: (boxes: number) => (i: number) => unknown;
}>;

/** Messages that a box exchanges under load. */
export type MessageDescriptor = Readonly<{
  name: string;
  /** Returns bytes per second at a box, without the framing of HTTP/2 and TCP. */
  measureBytes: (boxes: number, requestsPerSecond: number) => number;
}>;

/** How a decision is measured; `getNow` returns ms. */
export type DecisionRounds = Readonly<{
  boxes: number;
  rounds: number;
  decisions: number;
  getNow: () => number;
}>;

const MICROSECONDS_PER_MS = 1_000;

/** Returns the median of the rounds, in µs per decision, after one round to warm up. */
export const measureDecision = async (
  { prepare }: DecisionDescriptor,
  { boxes, rounds, decisions, getNow }: DecisionRounds,
): Promise<number> => {
  const decide = prepare(boxes);
  const costs: number[] = [];
  for (let round = 0; round <= rounds; round += 1) {
    const startedAt = getNow();
    for (let i = 0; i < decisions; i += 1) await decide(round * decisions + i);
    costs.push(((getNow() - startedAt) * MICROSECONDS_PER_MS) / decisions);
  }
  return median(costs.slice(1));
};
