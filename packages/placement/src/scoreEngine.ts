/** Scores engines for a generation. Pure but for the random source passed in. */
import type { BackendServer } from "@stairgauge/directory";
import type { ServicePace } from "@stairgauge/pace";
import type { ChoiceInputs, Scored } from "./choice.js";
import { scoreEnginePace } from "./scoreEnginePace.js";
import { estimateEngineLoad } from "./engineLoad.js";

/** Loads closer together than this count as equal, given the age of reports. */
const MIN_LOAD_JITTER = 0.06;

/**
 * Factor on the range of random loads. The mean of a uniform draw is half its range, so the range
 * is twice the load to make up for.
 */
const COMPETITION_SPREAD = 2;

/**
 * Competing placements up to this expected number are ignored. At 11 placements per second (0.3
 * expected) spreading cost up to 0.015 of the worth; at 40 per second (1.2 expected) it reduced the
 * slowest 1 % of first answers from 2.3 s to 1.5 s.
 */
const IGNORED_COMPETITORS = 0.5;

/** Scores an engine; `pace` is undefined unless the engines' service times are uneven. */
export const scoreEngine = (
  server: BackendServer,
  inputs: ChoiceInputs,
  pace: ServicePace | undefined,
): Scored => {
  const { registry, now, random, demand, expectedCompetitors, way } = inputs;
  const { backlogWeight } = way;
  const prompt = demand.tokens?.prompt ?? 0;
  const needed = prompt + (demand.tokens?.expectedOut ?? 0);
  const engineLoad = estimateEngineLoad(server, registry, now);
  const { taken, backlog, total, reportAge } = engineLoad;
  // Boxes with the same figures would all choose the engine that looks emptiest. The load that one
  // placement adds, times the number of boxes that may be choosing now, is the difference of load
  // below which a box can't predict which engine will be emptier.
  const added = (needed + backlogWeight * prompt) / total;
  const competitors = Math.max(0, expectedCompetitors - IGNORED_COMPETITORS);
  const jitter =
    random.nextFloat() *
    Math.max(MIN_LOAD_JITTER, COMPETITION_SPREAD * competitors * added);
  const { slowness, cost } = pace
    ? scoreEnginePace(server, inputs, { pace, load: engineLoad })
    : { slowness: 1, cost: 0 };
  const load = (taken + backlogWeight * slowness * backlog) / total + jitter;
  return {
    server,
    cost: load + cost,
    load,
    memoryAfter: (taken + needed) / total,
    reportAge,
  };
};
