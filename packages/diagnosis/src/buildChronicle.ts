/** Puts lines of many boxes in order: runs of processes, one time for all, and the story of each request. */
import type { Ms } from "@stairgauge/common";
import { groupBy } from "./groupBy.js";
import type { BoxRun, Chronicle, LogLine, RequestStory, TimedLine } from "./types.js";

const START_EVENT = "starting";
const STOP_EVENT = "stopped";

/** Splits one box's lines where its process started anew. */
const splitRuns = (lines: readonly LogLine[]): readonly (readonly LogLine[])[] => {
  const runs: LogLine[][] = [];
  for (const line of lines) {
    if (line.event === START_EVENT || runs.length === 0) runs.push([]);
    runs.at(-1)!.push(line);
  }
  return runs;
};

/**
 * What to add to a run's steady clock to get the time of day. The median bears jumps of the time of day, which last for
 * less than half of a run's lines.
 */
const computeOffset = (lines: readonly LogLine[]): number => {
  const offsets = lines
    .flatMap(({ time, at }) => (time === undefined ? [] : [time - at]))
    .sort((a, b) => a - b);
  return offsets[Math.floor(offsets.length / 2)] ?? 0;
};

type TimedRun = Readonly<{ run: BoxRun; lines: readonly TimedLine[] }>;

const buildRun = (lines: readonly LogLine[], isFollowed: boolean): TimedRun => {
  const offset = computeOffset(lines);
  const timed = lines.map((line) => ({ ...line, sharedAt: (line.at + offset) as Ms }));
  return {
    lines: timed,
    run: {
      box: timed[0]!.box,
      beginsAt: timed[0]!.sharedAt,
      endsAt: timed.at(-1)!.sharedAt,
      isStopped: timed.some(({ event }) => event === STOP_EVENT),
      isFollowed,
    },
  };
};

const buildStories = ({ run, lines }: TimedRun): readonly RequestStory[] => {
  const about = lines.filter(({ request }) => request !== undefined);
  const byRequest = groupBy(about, ({ request }) => request!);
  return [...byRequest].map(([request, own]) => ({ request, run, lines: own }));
};

const countLeftOut = (lines: readonly LogLine[]): number =>
  lines.reduce((sum, { fields }) => sum + Number(fields["linesLeftOut"] ?? 0), 0);

/** Builds the chronicle; the lines of one box have to be in the order in which it wrote them. */
export const buildChronicle = (lines: readonly LogLine[]): Chronicle => {
  const runs = [...groupBy(lines, ({ box }) => box).values()].flatMap((own) => {
    const split = splitRuns(own);
    return split.map((run, i) => buildRun(run, i + 1 < split.length));
  });
  const all = runs.flatMap((run) => run.lines);
  return {
    stories: runs.flatMap(buildStories),
    happenings: all
      .filter(({ request }) => request === undefined)
      .sort((a, b) => a.sharedAt - b.sharedAt),
    beginsAt: Math.min(...runs.map(({ run }) => run.beginsAt)) as Ms,
    endsAt: Math.max(...runs.map(({ run }) => run.endsAt)) as Ms,
    leftOut: countLeftOut(lines),
  };
};
