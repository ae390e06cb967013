/** Computes the result of a simulated load pattern. Pure. */
import type { ModelRun } from "./engine.js";
import type { KindOutcome, LoadOutcome, LoadPattern, SimulatedRun } from "./types.js";

const WINDOW_MS = 2_000;

/** One output token counts as this many prompt tokens, as the users rate them. */
const OUT_WEIGHT = 10;

/** Maximum worth of one generation, as a multiple of the mean of its kind. */
const MAX_WORTH = 4;

const computeSize = ({ prompt, out }: ModelRun) => prompt + OUT_WEIGHT * out;

/** Returns the share of the worth that was earned, in total, in the worst windows and by kind. */
export const sumUp = (
  pattern: LoadPattern,
  runs: readonly SimulatedRun[],
): LoadOutcome => {
  let [asked, earned] = [0, 0];
  const windows = new Map<number, [number, number]>();
  const kinds = pattern.kinds.map((kind): KindOutcome => {
    const ofKind = runs.filter(({ run }) => run.kind === kind.name);
    const meanSize =
      ofKind.reduce((sum, { run }) => sum + computeSize(run), 0) / ofKind.length;
    let [askedOfKind, earnedOfKind, inTime, preemptions] = [0, 0, 0, 0];
    let [lateFirst, latePause] = [0, 0];
    const firsts: number[] = [];
    for (const { run, isEnded } of ofKind) {
      const factor = Math.min(MAX_WORTH, 0.3 + (0.7 * computeSize(run)) / meanSize);
      const first = (run.firstAt ?? Infinity) - run.arrivedAt;
      // A run that is still open at the end counts by the events it has sent so far.
      const isServed = isEnded || run.firstAt !== undefined;
      const isOnTime =
        isServed && first <= kind.aimMs && run.longestPause <= kind.mostPauseMs;
      const credit = isOnTime ? kind.worth : isServed ? kind.worthLate : 0;
      firsts.push(first);
      askedOfKind += kind.worth * factor;
      earnedOfKind += credit * factor;
      if (isOnTime) inTime += 1;
      else if (first > kind.aimMs) lateFirst += 1;
      else latePause += 1;
      preemptions += run.preemptions;
      const window = Math.floor(run.arrivedAt / WINDOW_MS);
      const [a, e] = windows.get(window) ?? [0, 0];
      windows.set(window, [a + kind.worth * factor, e + credit * factor]);
    }
    asked += askedOfKind;
    earned += earnedOfKind;
    firsts.sort((a, b) => a - b);
    return {
      name: kind.name,
      asked: ofKind.length,
      inTime,
      lateFirst,
      latePause,
      share: earnedOfKind / askedOfKind,
      firstP50: firsts[Math.floor(firsts.length / 2)] ?? 0,
      firstP99: firsts[Math.floor(firsts.length * 0.99)] ?? 0,
      preemptions,
    };
  });
  const worst = [...windows.values()]
    .map(([a, e]) => e / a)
    .sort((a, b) => a - b)
    .slice(0, 2);
  return {
    share: earned / asked,
    worstShare: worst.reduce((sum, one) => sum + one, 0) / worst.length,
    kinds,
  };
};
