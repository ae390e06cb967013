/** Picks the candidate with the least cost. */
import type { Random } from "@stairgauge/common";
import type { Scored } from "./choice.js";

/** Picks the candidate with the least cost; ties are broken at random. */
export const pickLeast = (
  scored: readonly Scored[],
  random: Random,
): Scored | undefined => {
  const least = Math.min(...scored.map(({ cost }) => cost));
  const best = scored.filter(({ cost }) => cost === least);
  return best[random.nextInt(0, Math.max(0, best.length - 1))];
};
