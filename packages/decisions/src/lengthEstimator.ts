/**
 * Estimates the length of answers. Each workspace, model and prompt class has a survival curve over
 * logarithmic steps of length, in which older samples weigh less. With few samples the curve is close
 * to that of the model.
 *
 * Memory is bounded by the number of models and by `MAX_CURVES` for workspaces: the least recently
 * used curves are evicted.
 */
import { dropOldest } from "@stairgauge/common";
import {
  CURVE_DECAY,
  MAX_CURVES,
  PRIOR_MEDIAN_TOKENS,
  PRIOR_SAMPLES,
  PRIOR_SPREAD,
  SHRINK_SAMPLES,
} from "./constants.js";

/** Number of steps of length. Each ends at √2 times the end of the one before. */
const STEPS = 34;
const STEPS_PER_DOUBLING = 2;

/** Longest length that falls into a step, tokens. */
const getStepEnd = (step: number): number => 2 ** (step / STEPS_PER_DOUBLING);

const toStep = (length: number): number =>
  Math.min(
    STEPS - 1,
    Math.max(0, Math.ceil(STEPS_PER_DOUBLING * Math.log2(Math.max(1, length)))),
  );

/** What the estimate of an answer's length depends on. */
export type LengthKey = Readonly<{
  workspace: string;
  model: string;
  promptTokens: number;
}>;

/** `survival[k]` is the probability that an answer is longer than the end of step k. */
export type SurvivalCurve = Readonly<{ survival: Float64Array }>;

/** Weighted numbers of answers, by step of length and in total. */
type Counts = { readonly byStep: Float64Array; total: number };

/** Estimates the length of answers from the lengths of earlier ones. */
export type LengthEstimator = Readonly<{
  /** Records the length of a whole answer, in tokens. */
  observe: (key: LengthKey, length: number) => void;
  /** The present curve. Later samples do not change it, so get a new one for each stream. */
  getCurve: (key: LengthKey) => SurvivalCurve;
}>;

/** Upper limits of the prompt classes, tokens; longer prompts form the last class. */
const PROMPT_CLASS_LIMITS = [512, 1_024, 2_048, 4_096] as const;

const toPromptClass = (promptTokens: number): number =>
  PROMPT_CLASS_LIMITS.filter((limit) => promptTokens > limit).length;

const createCounts = (): Counts => ({ byStep: new Float64Array(STEPS), total: 0 });

const addTo = (counts: Counts, step: number) => {
  for (let k = 0; k < STEPS; k += 1) counts.byStep[k]! *= CURVE_DECAY;
  counts.total = counts.total * CURVE_DECAY + 1;
  counts.byStep[step]! += 1;
};

/** Counts of a log-normal distribution, for models without samples. */
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

/** Adds a base distribution with the weight of `weight` samples to the counts. */
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

/** The probability that an answer is longer than `length` tokens. */
export const computeSurvival = ({ survival }: SurvivalCurve, length: number): number => {
  if (length < 1) return 1;
  const position = STEPS_PER_DOUBLING * Math.log2(length);
  const low = Math.floor(position);
  if (low >= STEPS - 1) return 0;
  const share = position - low;
  return survival[low]! * (1 - share) + survival[low + 1]! * share;
};

/** Creates an estimator without samples. */
export const createLengthEstimator = (): LengthEstimator => {
  /** Counts by workspace, model and prompt class; least recently used first. */
  const byWorkspace = new Map<string, Counts>();
  const byModel = new Map<string, Counts>();

  const toModelKey = ({ model, promptTokens }: LengthKey) =>
    `${model}/${toPromptClass(promptTokens)}`;
  const toWorkspaceKey = (key: LengthKey) => `${key.workspace}/${toModelKey(key)}`;

  const touch = (key: string, counts: Counts) => {
    byWorkspace.delete(key);
    byWorkspace.set(key, counts);
    dropOldest(byWorkspace, MAX_CURVES);
  };

  return {
    observe: (key, length) => {
      const step = toStep(length);
      const modelKey = toModelKey(key);
      const model = byModel.get(modelKey) ?? createCounts();
      byModel.set(modelKey, model);
      addTo(model, step);
      const workspaceKey = toWorkspaceKey(key);
      const counts = byWorkspace.get(workspaceKey) ?? createCounts();
      addTo(counts, step);
      touch(workspaceKey, counts);
    },
    getCurve: (key) => {
      const model = combineCounts(byModel.get(toModelKey(key)), PRIOR, PRIOR_SAMPLES);
      return toCurve(
        combineCounts(byWorkspace.get(toWorkspaceKey(key)), model, SHRINK_SAMPLES),
      );
    },
  };
};
