/** Searches random schedules for one that breaks a promise of the system. */
import fc from "fast-check";
import { SCHEDULE, type Command } from "./commands.js";
import { findBrokenPromise, type PromiseName } from "./promises.js";
import { runSchedule } from "./simulation.js";
import type { Variant } from "./simulationTypes.js";

/** Options of a search. */
export type HuntOptions = Readonly<{
  /** Seed of the random schedules. */
  seed: number;
  /** How many schedules to run. */
  runs: number;
  /** Replaces parts of the system by broken ones; the real parts are used without it. */
  variant?: Variant;
  /** Checks only this promise; all are checked without it. */
  only?: PromiseName;
}>;

/** A shrunk schedule and the promise that it breaks; undefined if no schedule broke one. */
export type Counterexample =
  Readonly<{ schedule: readonly Command[]; message: string }> | undefined;

/** Runs random schedules until one breaks a promise, and shrinks that schedule. */
export const findCounterexample = async ({
  seed,
  runs,
  variant,
  only,
}: HuntOptions): Promise<Counterexample> => {
  const property = fc.asyncProperty(SCHEDULE, async (schedule) => {
    const broken = findBrokenPromise(await runSchedule(schedule, variant), only);
    if (broken) throw new Error(`${broken.promise}: ${broken.detail}`);
  });
  const result = await fc.check(property, { seed, numRuns: runs });
  if (!result.failed) return undefined;
  const error = result.errorInstance;
  return {
    schedule: result.counterexample?.[0] ?? [],
    message: error instanceof Error ? error.message : String(error),
  };
};
