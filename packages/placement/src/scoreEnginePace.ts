/**
 * Scores what an engine's speed means for a prompt, and what the prompt means for the streams that run
 * there. Pure.
 *
 * It addresses engines of uneven speed with slow periods: a prompt that a slower engine processes
 * beside long streams makes all of them pause for longer than allowed if the engine has a slow period
 * meanwhile. In `npm run measure:patterns` (uneven engines with slow periods) three in ten long streams
 * were late for that reason.
 */
import type { Ms } from "@stairgauge/common";
import type { BackendServer } from "@stairgauge/directory";
import type { PaceEstimate, ServicePace } from "@stairgauge/pace";
import type { ChoiceInputs } from "./choice.js";
import type { EngineLoad } from "./engineLoad.js";
import type { PlacedRun } from "./types.js";

/** Longest gap between events if the routes name none. */
const DEFAULT_GAP_TARGET = 180 as Ms;

/** Share of the target from which on an engine's longest gaps are a risk; at the target it is 1. */
const RISK_FROM = 0.5;

/**
 * An engine's own longest gap counts up to this factor of what its speed lets expect, so that a
 * single pause of another cause doesn't exclude it.
 */
const MAX_OWN_FACTOR = 1.25;

/** Expected output from which a stream counts in full: it is exposed to pauses for seconds. */
const LONG_OUT_TOKENS = 400;

/** Prompt to which the costs refer: the mean on the users' sites. */
const MEAN_PROMPT_TOKENS = 3_000;

/**
 * Cost of a prompt for each long stream at an engine of full risk, as a share of the engine's memory,
 * the unit of the score. For requests of short output it is higher: they can go to a fast engine, where
 * they hold memory for a moment only. Factors of 1 and 8 instead of 4 reduced the gain by 0.005 and
 * 0.006.
 */
const COST_PER_STREAM = 0.2;
const SHORT_REQUEST_FACTOR = 4;

/** Cost of a long stream at an engine of full risk: it is exposed to all prompts after it. */
const COST_OF_LONG_STREAM = 0.3;

/**
 * Wait for the prompts ahead that costs nothing, and the cost of each second beyond it. Without it,
 * prompts queue at the fast engines, and a third more first events are late.
 */
const FREE_WAIT_MS = 200;
const COST_PER_WAITED_SECOND = 4;

/** Share of the memory beyond which an engine is filled only at a cost. */
const FULL_FROM = 0.85;
const COST_OF_FULL_MEMORY = 5;

/** An engine that was seen in a slow period this recently gets no prompt while another has capacity. */
const SLOW_PERIOD_MS = 300;
const COST_OF_SLOW_PERIOD = 0.5;

const computeSlowness = ({ reading }: PaceEstimate, pace: ServicePace): number => {
  const median = pace.findMedian("reading");
  return reading && median !== undefined ? reading.value / median : 1;
};

/** Returns the risk of a pause above the target while the engine processes a prompt, from 0 to 1. */
const computeRisk = (
  { longestGapMs = 0 }: PaceEstimate,
  { longestGapMs: usual = 0 }: ServicePace,
  { slowness, targetMs }: Readonly<{ slowness: number; targetMs: number }>,
): number => {
  const bySpeed = slowness * usual;
  const expected = Math.min(Math.max(longestGapMs, bySpeed), MAX_OWN_FACTOR * bySpeed);
  const from = RISK_FROM * targetMs;
  return Math.max(0, Math.min(1, (expected - from) / (targetMs - from)));
};

/** Returns how far an output counts as a long one, from 0 to 1. */
const computeLength = (expectedOut: number): number =>
  Math.min(1, expectedOut / LONG_OUT_TOKENS);

const sumLengths = (runs: readonly PlacedRun[]): number =>
  runs.reduce((sum, { expectedOut }) => sum + computeLength(expectedOut), 0);

const computePauseCost = (
  risk: number,
  streams: number,
  demand: ChoiceInputs["demand"],
) => {
  const { prompt = 0, expectedOut = 0 } = demand.tokens ?? {};
  const length = computeLength(expectedOut);
  const factor = length + (1 - length) * SHORT_REQUEST_FACTOR;
  const perStream = COST_PER_STREAM * factor * (prompt / MEAN_PROMPT_TOKENS);
  return risk * (perStream * streams + COST_OF_LONG_STREAM * length);
};

const computeCrowdingCost = (
  { taken, total, backlog }: EngineLoad,
  demand: ChoiceInputs["demand"],
  msPerToken: number,
): number => {
  const { prompt = 0, expectedOut = 0 } = demand.tokens ?? {};
  const overfull = Math.max(0, (taken + prompt + expectedOut) / total - FULL_FROM);
  const overdue = Math.max(0, backlog * msPerToken - FREE_WAIT_MS) / 1_000;
  return COST_OF_FULL_MEMORY * overfull + COST_PER_WAITED_SECOND * overdue;
};

/** Returns the engine's slowness relative to the median, and the cost to add to its load. */
export const scoreEnginePace = (
  server: BackendServer,
  { demand, gapTarget = DEFAULT_GAP_TARGET }: ChoiceInputs,
  { pace, load }: Readonly<{ pace: ServicePace; load: EngineLoad }>,
): Readonly<{ slowness: number; cost: number }> => {
  const { id } = server.entry;
  const estimate = pace.estimate(id);
  const slowness = computeSlowness(estimate, pace);
  const risk = computeRisk(estimate, pace, { slowness, targetMs: gapTarget });
  const streams = sumLengths(load.runs);
  const isSlow = (estimate.slowAgoMs ?? Infinity) < SLOW_PERIOD_MS;
  return {
    slowness,
    cost:
      computePauseCost(risk, streams, demand) +
      computeCrowdingCost(load, demand, estimate.reading?.value ?? 0) +
      (isSlow ? COST_OF_SLOW_PERIOD : 0),
  };
};
