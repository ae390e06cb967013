/** Load patterns; lengths in tokens, times in ms. */
import type { LoadKind, LoadPattern } from "./types.js";

/** Long streams of widely spread lengths and many short answers to long prompts, which fill the memory of the engines. */
export const SHIFTED_MIX: LoadPattern = {
  name: "wide lengths on small engines",
  durationMs: 34_000,
  engines: 50,
  traits: {
    slots: 24,
    memory: 21_864,
    stepMs: 7,
    stepMsPerRun: 0.12,
    prefillPerMs: 14,
    chunk: 112,
  },
  slowness: [1, 1, 1.3],
  kinds: [
    {
      name: "draft",
      perSecond: 23.7,
      prompt: { mean: 3_079, spread: 0.35, max: 6_000 },
      out: { mean: 748, spread: 1.344, max: 1_768 },
      guessSpread: 1.2,
      tiers: [0, 1, 1, 2],
      aimMs: 1_806,
      mostPauseMs: 180,
      worth: 130,
      worthLate: 20,
    },
    {
      name: "verdict",
      perSecond: 45.9,
      prompt: { mean: 2_550, spread: 0.6, max: 6_000 },
      out: { mean: 9, spread: 1.424, max: 32 },
      guessSpread: 1.2,
      tiers: [0, 1, 1, 2],
      aimMs: 1_504,
      mostPauseMs: 180,
      worth: 17,
      worthLate: 2.5,
    },
  ],
  swing: { share: 0.27, periodMs: 11_000 },
  reclaims: { everyMs: 3_300, share: 0.17, noticeMs: 1_800, backMs: 3_000 },
};

const withLoad = (
  pattern: LoadPattern,
  changes: Partial<LoadPattern>,
  [draft, verdict]: readonly [Partial<LoadKind>, Partial<LoadKind>],
): LoadPattern => ({
  ...pattern,
  ...changes,
  kinds: [
    { ...pattern.kinds[0]!, ...draft },
    { ...pattern.kinds[1]!, ...verdict },
  ],
});

/** The same kinds with less widely spread lengths, on fewer engines with more memory. */
export const EVEN_MIX: LoadPattern = withLoad(
  SHIFTED_MIX,
  {
    name: "even lengths on forty engines",
    engines: 40,
    traits: { ...SHIFTED_MIX.traits, memory: 33_652 },
    slowness: [1],
    swing: { share: 0.15, periodMs: 11_000 },
  },
  [
    {
      perSecond: 19.2,
      out: { mean: 944, spread: 0.84, max: 2_400 },
      worth: 93,
      worthLate: 14,
    },
    {
      perSecond: 21.5,
      out: { mean: 16, spread: 0.89, max: 60 },
      worth: 9.9,
      worthLate: 1.5,
    },
  ],
);

/** A small site: six engines with many slots, one of which is reclaimed at a time. */
export const SMALL_SITE: LoadPattern = withLoad(
  EVEN_MIX,
  {
    name: "six engines",
    engines: 6,
    traits: { ...SHIFTED_MIX.traits, slots: 48, memory: 34_414 },
    reclaims: { everyMs: 3_300, share: 0.17, noticeMs: 1_800, backMs: 3_000 },
  },
  [{ perSecond: 2.4 }, { perSecond: 3.4 }],
);

/** Bursts of about three seconds: the request rate swings about twice as far as in the first pattern. */
export const BURSTS: LoadPattern = {
  ...SHIFTED_MIX,
  name: "a swing of more than half",
  swing: { share: 0.6, periodMs: 8_000 },
};

/**
 * The first deployment of docs/hard-load.md at two sevenths of its size: engines of uneven speed with
 * slow periods, in which a prompt makes the streams of a slower engine pause.
 */
export const UNEVEN_ENGINES: LoadPattern = withLoad(
  SHIFTED_MIX,
  {
    name: "uneven engines with slow periods",
    hasOwnLoadSeed: true,
    engines: 12,
    traits: { ...SHIFTED_MIX.traits, memory: 26_985 },
    slowness: [0.55, 1.2, 1.2, 1.2],
    slowPeriods: { share: 0.15, lengthMs: 600, factor: 2.5 },
    swing: { share: 0.55, periodMs: 15_000 },
  },
  [
    {
      perSecond: 5.9,
      out: { mean: 1_550, spread: 1.5, max: 1_756 },
      worth: 130,
      worthLate: 20,
    },
    {
      perSecond: 6.5,
      out: { mean: 12, spread: 1, max: 40 },
      worth: 18.6,
      worthLate: 2.9,
    },
  ],
);

/** All patterns, hardest first. */
export const PATTERNS: readonly LoadPattern[] = [
  SHIFTED_MIX,
  BURSTS,
  EVEN_MIX,
  SMALL_SITE,
  UNEVEN_ENGINES,
];
