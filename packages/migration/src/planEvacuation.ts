/**
 * How the runs of a leaving engine are moved. Pure.
 *
 * All boxes' copies queue on the engine's one link, so the boxes agree on an order without talking: each
 * works it out from the same runs, and begins its copies a little apart, in that order.
 */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computePressure, type CopyLink } from "./copyTime.js";
import { rankTargets, type MoveTarget, type RunToMove } from "@stairgauge/placement";

/** What is known when an engine starts to leave. */
export type EvacuationInputs = Readonly<{
  noticedAt: Ms;
  /** In the order in which they are to be moved. */
  runs: readonly RunToMove[];
  targets: readonly MoveTarget[];
  /** Undefined while the service's configuration is not known. */
  link: CopyLink | undefined;
}>;

/** What one run is to do. */
export type RunPlan = Readonly<{
  /** When its copy begins, on the box's steady clock. */
  copyAt: Ms;
  /** Engines to copy it to, best first. */
  targets: readonly ServerId[];
}>;

/** The plan for one engine. */
export type EvacuationPlan = Readonly<{
  planRun: (id: string, tokensInMemory: number) => RunPlan;
}>;

/** Boxes hear a notice within a few milliseconds of each other; their calls keep this distance. */
const DISTANCE_MS = 8;

/** Plans the evacuation of one engine. */
export const planEvacuation = (inputs: EvacuationInputs): EvacuationPlan => {
  const { noticedAt, runs, targets, link } = inputs;
  const pressure = computePressure(runs, link);
  const assigned = rankTargets(runs, targets, pressure);
  const ranks = new Map(runs.map((run, rank) => [run.id, rank]));
  return {
    planRun: (id, tokensInMemory) => {
      const rank = ranks.get(id);
      if (rank !== undefined)
        return {
          copyAt: (noticedAt + rank * DISTANCE_MS) as Ms,
          targets: assigned.get(id) ?? [],
        };
      // A run that has begun since goes behind all others.
      const late: RunToMove = { id, tokensInMemory, tokensLeft: 0 };
      return {
        copyAt: (noticedAt + runs.length * DISTANCE_MS) as Ms,
        targets: rankTargets([...runs, late], targets, pressure).get(id) ?? [],
      };
    },
  };
};
