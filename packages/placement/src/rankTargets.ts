/**
 * Assigns the runs of a leaving engine to targets. Pure.
 *
 * Every box that has runs there makes the same assignment from the engine's own list of runs, as far as their
 * views of the targets agree, and carries out its own part: so they do not all choose the emptiest one.
 */
import type { ReportedRun } from "./types.js";
import type { ServerId } from "@stairgauge/directory";

/** An engine that may take runs. */
export type MoveTarget = Readonly<{
  server: ServerId;
  takenTokens: number;
  totalTokens: number;
  /** In the same data hall as the source: a copy there takes half the time. */
  isNear: boolean;
}>;

/** Share of an engine's memory up to which being near counts. */
const ROOMY_LOAD = 0.7;

/** Tokens that a moved run is expected to make yet; from the users' sites, half of a mean output. */
const GROWTH_TOKENS = 400;

type Room = { readonly target: MoveTarget; taken: number };

const computeLoad = ({ target, taken }: Room, tokens: number): number =>
  (taken + tokens) / target.totalTokens;

const comparePlaces = (a: Room, b: Room, tokens: number): number => {
  const [aLoad, bLoad] = [computeLoad(a, tokens), computeLoad(b, tokens)];
  const aFirst = a.target.isNear && aLoad <= ROOMY_LOAD;
  const bFirst = b.target.isNear && bLoad <= ROOMY_LOAD;
  if (aFirst !== bFirst) return aFirst ? -1 : 1;
  return aLoad - bLoad || (a.target.server < b.target.server ? -1 : 1);
};

/** Gives for each run its targets, best first, largest runs placed first. */
export const rankTargets = (
  runs: readonly ReportedRun[],
  targets: readonly MoveTarget[],
): ReadonlyMap<string, readonly ServerId[]> => {
  const rooms: Room[] = targets.map((target) => ({ target, taken: target.takenTokens }));
  const order = runs.toSorted(
    (a, b) => b.tokensInMemory - a.tokensInMemory || (a.id < b.id ? -1 : 1),
  );
  const assigned = new Map<string, readonly ServerId[]>();
  for (const run of order) {
    const tokens = run.tokensInMemory + GROWTH_TOKENS;
    rooms.sort((a, b) => comparePlaces(a, b, tokens));
    const first = rooms[0];
    if (first) first.taken += tokens;
    assigned.set(
      run.id,
      rooms.map((room) => room.target.server),
    );
  }
  return assigned;
};
