/** Merges the log lines of many boxes: splits them into process runs, puts them on one common time, groups them by request. */
import type { Ms } from "@stairgauge/common";
import { groupBy } from "./groupBy.js";
import type { BoxRun, Timeline, LogLine, RequestLog, TimedLine } from "./types.js";

const START_EVENT = "starting";
const STOP_EVENT = "stopped";

/** Splits the lines of one box wherever its process was started again. */
const splitRuns = (lines: readonly LogLine[]): readonly (readonly LogLine[])[] => {
  const runs: LogLine[][] = [];
  for (const line of lines) {
    if (line.event === START_EVENT || runs.length === 0) runs.push([]);
    runs.at(-1)!.push(line);
  }
  return runs;
};

/**
 * Returns the milliseconds to add to the monotonic clock of a run to get the time of day; 0 if no line has a time of day.
 * The median is not affected by clock jumps as long as they touch less than half of the lines.
 */
const computeOffset = (lines: readonly LogLine[]): number => {
  const offsets = lines
    .flatMap(({ time, at }) => (time === undefined ? [] : [time - at]))
    .sort((a, b) => a - b);
  return offsets[Math.floor(offsets.length / 2)] ?? 0;
};

type TimedRun = Readonly<{ run: BoxRun; lines: readonly TimedLine[] }>;

const buildRun = (lines: readonly LogLine[], wasRestarted: boolean): TimedRun => {
  const offset = computeOffset(lines);
  const timed = lines.map((line) => ({ ...line, timelineAt: (line.at + offset) as Ms }));
  return {
    lines: timed,
    run: {
      box: timed[0]!.box,
      beginsAt: timed[0]!.timelineAt,
      endsAt: timed.at(-1)!.timelineAt,
      isStopped: timed.some(({ event }) => event === STOP_EVENT),
      wasRestarted,
    },
  };
};

const buildRequestLogs = ({ run, lines }: TimedRun): readonly RequestLog[] => {
  const requestLines = lines.filter(({ request }) => request !== undefined);
  const byRequest = groupBy(requestLines, ({ request }) => request!);
  return [...byRequest].map(([request, grouped]) => ({ request, run, lines: grouped }));
};

const countDroppedLines = (lines: readonly LogLine[]): number =>
  lines.reduce((sum, { fields }) => sum + Number(fields["linesLeftOut"] ?? 0), 0);

/** Builds the timeline. The lines of each box must be in the order in which the box wrote them. */
export const buildTimeline = (lines: readonly LogLine[]): Timeline => {
  const runs = [...groupBy(lines, ({ box }) => box).values()].flatMap((grouped) => {
    const runsOfBox = splitRuns(grouped);
    return runsOfBox.map((run, i) => buildRun(run, i + 1 < runsOfBox.length));
  });
  const allLines = runs.flatMap((run) => run.lines);
  return {
    requestLogs: runs.flatMap(buildRequestLogs),
    happenings: allLines
      .filter(({ request }) => request === undefined)
      .sort((a, b) => a.timelineAt - b.timelineAt),
    beginsAt: Math.min(...runs.map(({ run }) => run.beginsAt)) as Ms,
    endsAt: Math.max(...runs.map(({ run }) => run.endsAt)) as Ms,
    droppedLines: countDroppedLines(lines),
  };
};
