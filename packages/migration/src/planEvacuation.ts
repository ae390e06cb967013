/**
 * When the runs of a leaving engine are to be stopped there. Pure.
 *
 * All boxes' copies queue on the engine's one link. A run that is stopped while other copies are still
 * queued waits behind them, and its client sees a pause. So runs are stopped once the first copies of
 * all of them should be through, whichever box makes them; each box works that out from the engine's report.
 */
import type { Ms } from "@stairgauge/common";
import type { ServerId } from "@stairgauge/directory";
import { rankTargets, type EngineReport, type MoveTarget } from "@stairgauge/placement";

/** What is known when an engine starts to leave. */
export type EvacuationInputs = Readonly<{
  noticedAt: Ms;
  report: EngineReport | undefined;
  targets: readonly MoveTarget[];
  bytesPerToken: number;
  linkMbps: number;
}>;

/** The plan; both times are on the box's steady clock. */
export type EvacuationPlan = Readonly<{
  /** From then on the link should be free of first copies. */
  quietAt: Ms;
  /** From then on the engine may be gone; infinite when it does not say. */
  leavesAt: Ms;
  /** Targets of a run, best first. */
  listTargets: (runId: string, tokens: number) => readonly ServerId[];
}>;

const BITS_PER_BYTE = 8;
const KILOBIT = 1000;

/** A copy to another data hall takes twice as long, and most go there. */
const OTHER_HALL_FACTOR = 2;

/** Longest that a plan waits for copies which may not even be made. */
const LONGEST_WAIT_MS = 3_000;

/** Time that the link takes for a run's memory, to another data hall. */
export const estimateCopyTime = (
  tokens: number,
  { bytesPerToken, linkMbps }: Pick<EvacuationInputs, "bytesPerToken" | "linkMbps">,
): Ms =>
  ((tokens * bytesPerToken * BITS_PER_BYTE * OTHER_HALL_FACTOR) /
    (linkMbps * KILOBIT)) as Ms;

/** Plans the evacuation of one engine. */
export const planEvacuation = (inputs: EvacuationInputs): EvacuationPlan => {
  const { noticedAt, report, targets } = inputs;
  const runs = report?.runs ?? [];
  const assigned = rankTargets(runs, targets);
  const tokens = runs.reduce((sum, run) => sum + run.tokensInMemory, 0);
  const copying = Math.min(LONGEST_WAIT_MS, estimateCopyTime(tokens, inputs));
  const leavesIn = report?.leavesIn ?? Infinity;
  return {
    quietAt: (noticedAt + copying) as Ms,
    leavesAt: (noticedAt + leavesIn) as Ms,
    // A run that the report did not know yet is put on top of those that it did.
    listTargets: (id, tokensInMemory) =>
      assigned.get(id) ??
      rankTargets([...runs, { id, tokensInMemory, eventsMade: 0 }], targets).get(id) ??
      [],
  };
};
