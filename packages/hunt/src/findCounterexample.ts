/** Hunts for a schedule that breaks a promise. */
import fc from "fast-check";
import { SCHEDULE, type Command } from "./commands.js";
import { findBrokenPromise, type PromiseName } from "./promises.js";
import { runSchedule } from "./world.js";
import type { Variant } from "./worldTypes.js";

/** A hunt. */
export type HuntOptions = Readonly<{
  seed: number;
  runs: number;
  variant?: Variant;
  /** Looks at this promise alone. */
  only?: PromiseName;
}>;

/** What a hunt found: a shrunk schedule and the promise that it breaks, or nothing. */
export type Hunted =
  Readonly<{ schedule: readonly Command[]; message: string }> | undefined;

/** Runs schedules until one breaks a promise, and shrinks that one. */
export const findCounterexample = async ({
  seed,
  runs,
  variant,
  only,
}: HuntOptions): Promise<Hunted> => {
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
