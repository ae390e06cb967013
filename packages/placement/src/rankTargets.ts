/**
 * Assigns the runs of a leaving engine to targets. Pure.
 *
 * Every box that has runs there makes the same assignment from the engine's own list of runs, as far as their
 * views of the targets agree, and carries out its own part: so they do not all choose the emptiest one.
 */
import type { ServerId } from "@stairgauge/directory";

/** A run that is to be moved. */
export type RunToMove = Readonly<{
  id: string;
  tokensInMemory: number;
  /** Tokens that it is expected to make yet, by its client's guess. */
  tokensLeft: number;
}>;

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

/** Gives for each run its targets, best first, in the order given. */
export const rankTargets = (
  runs: readonly RunToMove[],
  targets: readonly MoveTarget[],
): ReadonlyMap<string, readonly ServerId[]> => {
  const rooms: Room[] = targets.map((target) => ({ target, taken: target.takenTokens }));
  const assigned = new Map<string, readonly ServerId[]>();
  for (const run of runs) {
    const tokens = run.tokensInMemory + run.tokensLeft;
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
