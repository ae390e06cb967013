/**
 * How long answers get: for each workspace, model and class of prompt a decayed survival curve over
 * logarithmic steps of length, shrunk towards the model's own where samples are few.
 *
 * Bounded: only the curves used last are kept (`MAX_CURVES`), so memory does not grow with workspaces.
 */
import {
  CURVE_DECAY,
  MAX_CURVES,
  PRIOR_MEDIAN_TOKENS,
  PRIOR_SAMPLES,
  PRIOR_SPREAD,
  SHRINK_SAMPLES,
} from "./constants.js";

/** Steps of length: each is the square root of two times the one before. */
const STEPS = 34;
const STEPS_PER_DOUBLING = 2;

/** Longest length that falls into a step, tokens. */
const getStepEnd = (step: number): number => 2 ** (step / STEPS_PER_DOUBLING);

const toStep = (length: number): number =>
  Math.min(
    STEPS - 1,
    Math.max(0, Math.ceil(STEPS_PER_DOUBLING * Math.log2(Math.max(1, length)))),
  );

/** What a request's length is judged by. */
export type LengthKey = Readonly<{
  workspace: string;
  model: string;
  promptTokens: number;
}>;

/** A curve: `survival[k]` is the chance that an answer is longer than step k's end. */
export type SurvivalCurve = Readonly<{ survival: Float64Array }>;

type Counts = { readonly byStep: Float64Array; total: number };

/** Learns lengths and tells what remains of an answer. */
export type LengthEstimator = Readonly<{
  observe: (key: LengthKey, length: number) => void;
  /** The curve now; take it anew for each stream, it does not change afterwards. */
  getCurve: (key: LengthKey) => SurvivalCurve;
}>;

const PROMPT_CLASS_LIMITS = [512, 1_024, 2_048, 4_096] as const;

const toPromptClass = (promptTokens: number): number =>
  PROMPT_CLASS_LIMITS.filter((limit) => promptTokens > limit).length;

const createCounts = (): Counts => ({ byStep: new Float64Array(STEPS), total: 0 });

const addTo = (counts: Counts, step: number) => {
  for (let k = 0; k < STEPS; k += 1) counts.byStep[k]! *= CURVE_DECAY;
  counts.total = counts.total * CURVE_DECAY + 1;
  counts.byStep[step]! += 1;
};

/** A log-normal guess for models of which nothing is known, as counts. */
const createPrior = (): Counts => {
  const prior = createCounts();
  for (let k = 0; k < STEPS; k += 1) {
    const z = (Math.log(getStepEnd(k)) - Math.log(PRIOR_MEDIAN_TOKENS)) / PRIOR_SPREAD;
    prior.byStep[k] = Math.exp((-z * z) / 2);
    prior.total += prior.byStep[k]!;
  }
  return prior;
};

const PRIOR = createPrior();

/** Mixes counts with a base that weighs as much as `weight` samples. */
const combineCounts = (
  counts: Counts | undefined,
  base: Counts,
  weight: number,
): Counts => {
  const mixed = createCounts();
  for (let k = 0; k < STEPS; k += 1) {
    mixed.byStep[k] = (counts?.byStep[k] ?? 0) + (base.byStep[k]! / base.total) * weight;
  }
  mixed.total = (counts?.total ?? 0) + weight;
  return mixed;
};

const toCurve = (counts: Counts): SurvivalCurve => {
  const survival = new Float64Array(STEPS);
  let left = counts.total;
  for (let k = 0; k < STEPS; k += 1) {
    left -= counts.byStep[k]!;
    survival[k] = Math.max(0, left / counts.total);
  }
  return { survival };
};

/** The chance that an answer is longer than `length` tokens. */
export const computeSurvival = ({ survival }: SurvivalCurve, length: number): number => {
  if (length < 1) return 1;
  const place = STEPS_PER_DOUBLING * Math.log2(length);
  const low = Math.floor(place);
  if (low >= STEPS - 1) return 0;
  const share = place - low;
  return survival[low]! * (1 - share) + survival[low + 1]! * share;
};

/** Creates an estimator that has seen nothing. */
export const createLengthEstimator = (): LengthEstimator => {
  /** Least recently used first. */
  const own = new Map<string, Counts>();
  const byModel = new Map<string, Counts>();

  const toModelKey = ({ model, promptTokens }: LengthKey) =>
    `${model}/${toPromptClass(promptTokens)}`;
  const toOwnKey = (key: LengthKey) => `${key.workspace}/${toModelKey(key)}`;

  const touch = (key: string, counts: Counts) => {
    own.delete(key);
    own.set(key, counts);
    if (own.size <= MAX_CURVES) return;
    const [oldest] = own.keys();
    if (oldest !== undefined) own.delete(oldest);
  };

  return {
    observe: (key, length) => {
      const step = toStep(length);
      const modelKey = toModelKey(key);
      const model = byModel.get(modelKey) ?? createCounts();
      byModel.set(modelKey, model);
      addTo(model, step);
      const ownKey = toOwnKey(key);
      const counts = own.get(ownKey) ?? createCounts();
      addTo(counts, step);
      touch(ownKey, counts);
    },
    getCurve: (key) => {
      const model = combineCounts(byModel.get(toModelKey(key)), PRIOR, PRIOR_SAMPLES);
      return toCurve(combineCounts(own.get(toOwnKey(key)), model, SHRINK_SAMPLES));
    },
  };
};
