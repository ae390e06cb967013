/**
 * Plans when and where the runs of a leaving engine are copied. Pure.
 *
 * The copies of all boxes share the engine's link. The boxes agree on an order without messages: each box computes it from the same
 * runs and starts its copies in that order, a few milliseconds apart.
 */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { computePressure, type CopyLink } from "./copyTime.js";
import { rankTargets, type MoveTarget, type RunToMove } from "@stairgauge/placement";

/** The state when an engine starts to leave. */
export type EvacuationInputs = Readonly<{
  /** When the box learned that the engine leaves, by its monotonic clock. */
  noticedAt: Ms;
  /** In the order in which they are to be moved. */
  runs: readonly RunToMove[];
  targets: readonly MoveTarget[];
  /** Undefined while the box has no configuration of the service. */
  link: CopyLink | undefined;
}>;

/** When and where one run is copied. */
export type RunPlan = Readonly<{
  /** When the copy starts, by the box's monotonic clock. */
  copyAt: Ms;
  /** Engines to copy the run to, best first. */
  targets: readonly ServerId[];
}>;

/** The plan for one engine. */
export type EvacuationPlan = Readonly<{
  planRun: (id: string, tokensInMemory: number) => RunPlan;
}>;

/** Time between the starts of two copies. Boxes learn that an engine leaves within a few milliseconds of each other. */
const COPY_SPACING_MS = 8;

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
          copyAt: (noticedAt + rank * COPY_SPACING_MS) as Ms,
          targets: assigned.get(id) ?? [],
        };
      // A run that began after the plan was made comes last.
      const late: RunToMove = { id, tokensInMemory, tokensLeft: 0 };
      return {
        copyAt: (noticedAt + runs.length * COPY_SPACING_MS) as Ms,
        targets: rankTargets([...runs, late], targets, pressure).get(id) ?? [],
      };
    },
  };
};
