/** Lists the runs to move from a leaving engine, in the order of their moves. Pure. */
import {
  isPlainRun,
  type EngineReport,
  type PlacedRun,
  type RunToMove,
} from "@stairgauge/placement";

/** Tokens per event at the users' sites. */
const TOKENS_PER_EVENT = 4;

/**
 * A run with fewer tokens left than this will probably end before its engine does: it takes about a second at 100 tokens per second,
 * the rate at the users' sites.
 */
const ENDS_SOON_TOKENS = 120;

const compareRuns = (a: RunToMove, b: RunToMove): number => {
  const aEndsSoon = a.tokensLeft < ENDS_SOON_TOKENS;
  const bEndsSoon = b.tokensLeft < ENDS_SOON_TOKENS;
  if (aEndsSoon !== bEndsSoon) return aEndsSoon ? 1 : -1;
  return a.tokensInMemory - b.tokensInMemory || (a.id < b.id ? -1 : 1);
};

/**
 * Lists the runs that have begun and can continue only by a move. Small runs come first, since more of them can be copied in the time
 * left. Runs that will probably end by themselves come last.
 */
export const listRunsToMove = (
  placed: readonly PlacedRun[],
  report: EngineReport | undefined,
): readonly RunToMove[] => {
  const reported = new Map((report?.runs ?? []).map((run) => [run.id, run]));
  return placed
    .filter((run) => run.isMovable && run.hasBegun && !isPlainRun(run))
    .map((run) => {
      const reportedRun = reported.get(run.id);
      const made = (reportedRun?.eventsMade ?? 0) * TOKENS_PER_EVENT;
      return {
        id: run.id,
        tokensInMemory: reportedRun?.tokensInMemory ?? run.promptTokens,
        tokensLeft: Math.max(0, run.expectedOut - made),
      };
    })
    .sort(compareRuns);
};
