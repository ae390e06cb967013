/** Draws the periods in which an engine is slower than usual. */
import { createSeededRandom } from "@stairgauge/common";
import type { LoadPattern } from "./types.js";

/** Distance of the seeds of two simulations, more than the number of engines that one starts. */
const SEED_STEP = 10_000;

/**
 * Creates the factor on an engine's steps at a time; undefined without slow periods. Its random source
 * is its own, so that both ways in a comparison meet the same periods.
 */
export const createSlowFactor = (
  periods: LoadPattern["slowPeriods"],
  seed: number,
  engine: number,
): ((now: number) => number) | undefined => {
  if (!periods) return undefined;
  const { share, lengthMs, factor } = periods;
  const random = createSeededRandom(seed * SEED_STEP + engine);
  const offsetMs = random.nextFloat() * lengthMs;
  const drawn: boolean[] = [];
  return (now) => {
    const index = Math.floor((now + offsetMs) / lengthMs);
    while (drawn.length <= index) drawn.push(random.nextFloat() < share);
    return drawn[index] ? factor : 1;
  };
};
