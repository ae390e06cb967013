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

/**
 * How much more load a near target may have than a far one, when the link has time for all copies and for each
 * unit of pressure beyond that: a copy to it takes half the time, so more runs get through.
 */
const NEAR_WORTH = 0.15;
const NEAR_WORTH_UNDER_PRESSURE = 0.35;
/** Beyond this a target that is full would be preferred. */
const MAX_PRESSURE = 2;

/** Load up to which nearness counts: beyond it the runs that are there already would pay for it. */
const CROWDED_LOAD = 0.85;

/** Load beyond which a target probably refuses the copy. */
const FULL_LOAD = 0.97;

type Room = { readonly target: MoveTarget; taken: number };

const computeLoad = ({ target, taken }: Room, tokens: number): number =>
  (taken + tokens) / target.totalTokens;

const compareIds = (a: Room, b: Room): number =>
  a.target.server < b.target.server ? -1 : 1;

const computeCost = (room: Room, tokens: number, pressure: number): number => {
  const load = computeLoad(room, tokens);
  const fullness = load > FULL_LOAD ? 1 : 0;
  if (!room.target.isNear || load > CROWDED_LOAD) return load + fullness;
  const nearWorth =
    NEAR_WORTH + NEAR_WORTH_UNDER_PRESSURE * Math.min(MAX_PRESSURE, pressure);
  return load + fullness - nearWorth;
};

/**
 * Gives for each run its targets, best first, in the order given. `pressure` is how much of the time left the
 * copies would take if all of them went far: 1 when they just fit.
 */
export const rankTargets = (
  runs: readonly RunToMove[],
  targets: readonly MoveTarget[],
  pressure: number,
): ReadonlyMap<string, readonly ServerId[]> => {
  const rooms: Room[] = targets.map((target) => ({ target, taken: target.takenTokens }));
  const assigned = new Map<string, readonly ServerId[]>();
  for (const run of runs) {
    const tokens = run.tokensInMemory + run.tokensLeft;
    const ranked = rooms
      .map((room) => ({ room, cost: computeCost(room, tokens, pressure) }))
      .sort((a, b) => a.cost - b.cost || compareIds(a.room, b.room))
      .map(({ room }) => room);
    const first = ranked[0];
    if (first) first.taken += tokens;
    assigned.set(
      run.id,
      ranked.map((room) => room.target.server),
    );
  }
  return assigned;
};
