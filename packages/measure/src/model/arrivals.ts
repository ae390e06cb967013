/** Generates the load of a run. It depends on the seed only, so that every policy receives the same load. */
import {
  createSeededRandom,
  type GenerationId,
  type Ms,
  type Random,
} from "@stairgauge/common";
import type { Arrival, Profile, TrafficKind } from "./types.js";

const MS_PER_SECOND = 1_000;

const sampleNormal = (random: Random): number => {
  const u = 1 - random.nextFloat();
  return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextFloat());
};

const sampleLogNormal = (random: Random, median: number, spread: number): number =>
  Math.max(1, Math.round(median * Math.exp(spread * sampleNormal(random))));

const pickWeighted = <T>(
  items: readonly T[],
  getWeight: (item: T) => number,
  random: Random,
): T => {
  const total = items.reduce((sum, item) => sum + getWeight(item), 0);
  let left = random.nextFloat() * total;
  for (const item of items) {
    left -= getWeight(item);
    if (left < 0) return item;
  }
  return items[items.length - 1]!;
};

const createArrival = (options: {
  readonly profile: Profile;
  readonly traffic: TrafficKind;
  readonly at: number;
  readonly count: number;
  readonly boxes: number;
  readonly random: Random;
}): Arrival => {
  const { profile, traffic, random } = options;
  const workspace = pickWeighted(profile.workspaces, (one) => one.weight, random);
  const ownTokens = sampleLogNormal(random, traffic.promptMedian, traffic.promptSpread);
  const output = sampleLogNormal(random, traffic.outputMedian, traffic.outputSpread);
  return {
    id: `g${options.count}` as GenerationId,
    at: options.at as Ms,
    box: random.nextInt(0, options.boxes - 1),
    workspace: workspace.name,
    tier: traffic.tier,
    rank: profile.tiers.find((tier) => tier.name === traffic.tier)?.rank ?? 0,
    kind: traffic.kind,
    promptTokens: Math.min(8_000, traffic.prefixTokens + ownTokens),
    length: Math.min(profile.maxOutputTokens, output),
    maxOutputTokens: profile.maxOutputTokens,
    prefix: { hash: `${workspace.name}/${traffic.kind}`, tokens: traffic.prefixTokens },
  };
};

/** Draws Poisson arrivals at `perSecond` on average, over `durationMs`. */
export const generateArrivals = (options: {
  readonly profile: Profile;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly boxes: number;
  readonly seed: number;
}): readonly Arrival[] => {
  const { profile, durationMs, boxes } = options;
  const random = createSeededRandom(options.seed);
  const peak = Math.max(
    ...profile.kinds.map((one) => Math.max(one.rate(0), one.rate(0.4))),
  );
  const arrivals: Arrival[] = [];
  let at = 0;
  for (;;) {
    const gap = -Math.log(1 - random.nextFloat()) / (options.perSecond * peak);
    at += gap * MS_PER_SECOND;
    if (at >= durationMs) return arrivals;
    const traffic = pickWeighted(profile.kinds, (one) => one.share, random);
    const isAccepted = random.nextFloat() < traffic.rate(at / durationMs) / peak;
    if (!isAccepted) continue;
    arrivals.push(
      createArrival({ profile, traffic, at, count: arrivals.length, boxes, random }),
    );
  }
};
