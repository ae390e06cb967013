/** The runs that boxes will move from a leaving engine, in the order in which they do. Pure. */
import type { EngineReport, PlacedRun, RunToMove } from "@stairgauge/placement";

/** Tokens of an event; from the users' sites. */
const TOKENS_PER_EVENT = 4;

/**
 * A run that is expected to make fewer tokens than this will probably end before its engine does: about
 * a second's worth at 100 tokens a second, measured on the users' sites.
 */
const ENDS_SOON_TOKENS = 120;

const compareRuns = (a: RunToMove, b: RunToMove): number => {
  const aEndsSoon = a.tokensLeft < ENDS_SOON_TOKENS;
  const bEndsSoon = b.tokensLeft < ENDS_SOON_TOKENS;
  if (aEndsSoon !== bEndsSoon) return aEndsSoon ? 1 : -1;
  return a.tokensInMemory - b.tokensInMemory || (a.id < b.id ? -1 : 1);
};

/**
 * Lists the runs that have begun and can go on only by a move: the small ones first, since the link takes
 * more of them in the time that is left; last those that will probably end by themselves.
 */
export const listRunsToMove = (
  placed: readonly PlacedRun[],
  report: EngineReport | undefined,
): readonly RunToMove[] => {
  const reported = new Map((report?.runs ?? []).map((run) => [run.id, run]));
  return placed
    .filter((run) => run.isMovable && run.hasBegun)
    .map((run) => {
      const known = reported.get(run.id);
      const made = (known?.eventsMade ?? 0) * TOKENS_PER_EVENT;
      return {
        id: run.id,
        tokensInMemory: known?.tokensInMemory ?? run.promptTokens,
        tokensLeft: Math.max(0, run.expectedOut - made),
      };
    })
    .sort(compareRuns);
};
