/** Draws a random generation of a kind. */
import type { Random } from "@stairgauge/common";
import type { ModelRun } from "./engine.js";
import type { LoadKind } from "./types.js";

const sampleNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.nextFloat())) *
  Math.cos(2 * Math.PI * random.nextFloat());

const sampleLogNormal = (random: Random, mean: number, spread: number): number =>
  mean * Math.exp(spread * sampleNormal(random) - (spread * spread) / 2);

const MIN_PROMPT = 100;

const sampleTokens = (
  random: Random,
  { mean, spread, max }: LoadKind["out"],
  min: number,
): number =>
  Math.max(min, Math.min(max, Math.round(sampleLogNormal(random, mean, spread))));

/** Draws the lengths, the client's estimate and the tier of a generation. */
export const sampleRun = (
  random: Random,
  kind: LoadKind,
  { id, now }: Readonly<{ id: string; now: number }>,
): ModelRun => {
  const out = sampleTokens(random, kind.out, 1);
  const prompt = sampleTokens(random, kind.prompt, MIN_PROMPT);
  const error = Math.exp(kind.guessSpread * sampleNormal(random));
  return {
    id,
    kind: kind.name,
    prompt,
    out,
    guess: Math.round(Math.min(kind.out.max, out * error)),
    tier: kind.tiers[random.nextInt(0, kind.tiers.length - 1)]!,
    arrivedAt: now,
    generated: 0,
    firstAt: undefined,
    lastAt: now,
    longestPause: 0,
    preemptions: 0,
  };
};
