/** What a play of a pattern brought. Pure. */
import type { ModelRun } from "./engine.js";
import type { KindOutcome, LoadOutcome, LoadPattern, PlayedRun } from "./types.js";

const WINDOW_MS = 2_000;

/** A token that comes out weighs as much as so many that go in, by the users' sheet. */
const OUT_WEIGHT = 10;

/** Most that one generation is worth, in means of its kind. */
const MAX_WORTH = 4;

const computeSize = ({ prompt, out }: ModelRun) => prompt + OUT_WEIGHT * out;

/** Sums a play up: what was served in time, by worth, in all and in the worst windows. */
export const sumUp = (
  pattern: LoadPattern,
  played: readonly PlayedRun[],
): LoadOutcome => {
  let [asked, earned] = [0, 0];
  const windows = new Map<number, [number, number]>();
  const kinds = pattern.kinds.map((kind): KindOutcome => {
    const own = played.filter(({ run }) => run.kind === kind.name);
    const meanSize = own.reduce((sum, { run }) => sum + computeSize(run), 0) / own.length;
    let [askedHere, earnedHere, inTime, preemptions] = [0, 0, 0, 0];
    const firsts: number[] = [];
    for (const { run, isEnded } of own) {
      const factor = Math.min(MAX_WORTH, 0.3 + (0.7 * computeSize(run)) / meanSize);
      const first = (run.firstAt ?? Infinity) - run.arrivedAt;
      // What runs on beyond the play counts by what has come so far.
      const isServed = isEnded || run.firstAt !== undefined;
      const isOnTime =
        isServed && first <= kind.aimMs && run.longestPause <= kind.mostPauseMs;
      const credit = isOnTime ? kind.worth : isServed ? kind.worthLate : 0;
      firsts.push(first);
      askedHere += kind.worth * factor;
      earnedHere += credit * factor;
      if (isOnTime) inTime += 1;
      preemptions += run.preemptions;
      const window = Math.floor(run.arrivedAt / WINDOW_MS);
      const [a, e] = windows.get(window) ?? [0, 0];
      windows.set(window, [a + kind.worth * factor, e + credit * factor]);
    }
    asked += askedHere;
    earned += earnedHere;
    firsts.sort((a, b) => a - b);
    return {
      name: kind.name,
      asked: own.length,
      inTime,
      share: earnedHere / askedHere,
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
