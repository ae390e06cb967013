/**
 * Assigns the runs of a leaving engine to target engines. Pure.
 *
 * Every box with runs on the engine computes the same assignment from the engine's own list of
 * runs, as far as the boxes have the same figures on the targets, and moves its own runs only. So
 * the boxes don't all choose the emptiest target.
 */
import type { ServerId } from "@stairgauge/directory";

/** A run to be moved. */
export type RunToMove = Readonly<{
  id: string;
  tokensInMemory: number;
  /** Tokens the run is still expected to generate, estimated by its client. */
  tokensLeft: number;
}>;

/** An engine that runs may be moved to. */
export type MoveTarget = Readonly<{
  server: ServerId;
  takenTokens: number;
  totalTokens: number;
  /**
   * Whether the target is in the same data hall as the source, where a copy takes half the time.
   */
  isNear: boolean;
}>;

/**
 * How much more load a near target may have than a far one and still be preferred: a base value,
 * and an increment per unit of pressure. Copies to near targets take half the time, so more runs
 * are moved before the engine is gone.
 */
const NEAR_PREFERENCE = 0.15;
const NEAR_PREFERENCE_PER_PRESSURE = 0.35;
/** Higher pressure is not counted, since full targets would then be preferred. */
const MAX_PRESSURE = 2;

/**
 * Load up to which near targets are preferred. Beyond it the preference would slow down the runs
 * already there.
 */
const CROWDED_LOAD = 0.85;

/** Load beyond which a target probably refuses the copy. */
const FULL_LOAD = 0.97;

type TargetLoad = { readonly target: MoveTarget; taken: number };

const computeLoad = ({ target, taken }: TargetLoad, tokens: number): number =>
  (taken + tokens) / target.totalTokens;

const compareIds = (a: TargetLoad, b: TargetLoad): number =>
  a.target.server < b.target.server ? -1 : 1;

const computeCost = (
  targetLoad: TargetLoad,
  tokens: number,
  pressure: number,
): number => {
  const load = computeLoad(targetLoad, tokens);
  const fullness = load > FULL_LOAD ? 1 : 0;
  if (!targetLoad.target.isNear || load > CROWDED_LOAD) return load + fullness;
  const preference =
    NEAR_PREFERENCE + NEAR_PREFERENCE_PER_PRESSURE * Math.min(MAX_PRESSURE, pressure);
  return load + fullness - preference;
};

/**
 * Returns the targets of each run, best first, assigned in the given order of runs. `pressure` is
 * the time for copying all runs to far targets, as a share of the time left: 1 if they just fit.
 */
export const rankTargets = (
  runs: readonly RunToMove[],
  targets: readonly MoveTarget[],
  pressure: number,
): ReadonlyMap<string, readonly ServerId[]> => {
  const targetLoads: TargetLoad[] = targets.map((target) => ({
    target,
    taken: target.takenTokens,
  }));
  const assigned = new Map<string, readonly ServerId[]>();
  for (const run of runs) {
    const tokens = run.tokensInMemory + run.tokensLeft;
    const ranked = targetLoads
      .map((targetLoad) => ({
        targetLoad,
        cost: computeCost(targetLoad, tokens, pressure),
      }))
      .sort((a, b) => a.cost - b.cost || compareIds(a.targetLoad, b.targetLoad))
      .map(({ targetLoad }) => targetLoad);
    const first = ranked[0];
    if (first) first.taken += tokens;
    assigned.set(
      run.id,
      ranked.map((targetLoad) => targetLoad.target.server),
    );
  }
  return assigned;
};
