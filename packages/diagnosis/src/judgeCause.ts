/** Finds the one cause of what a request met. Pure. */
import type { Ms } from "@stairgauge/common";
import type {
  Cause,
  Chronicle,
  Delay,
  MoveProgress,
  RequestStory,
  TimedLine,
} from "./types.js";

/** A box that is silent for this long while others write has ended: each writes some lines a second under load. */
const SILENT_BOX_MS = 2_000;

const FIRST_FAILURE_STATUS = 400;

/** Reasons of refusals that say that a server took the request and its answer is no use. */
const ANSWER_LOST_REASONS: ReadonlySet<unknown> = new Set([
  "answer_lost",
  "no_server_left",
]);
const OUT_OF_TIME_REASON = "out_of_time";

const findLast = (story: RequestStory, event: string): TimedLine | undefined =>
  story.lines.findLast((line) => line.event === event);
const hasLine = (story: RequestStory, event: string): boolean =>
  findLast(story, event) !== undefined;
const getNumber = (line: TimedLine | undefined, field: string): number | undefined => {
  const value = line?.fields[field];
  return typeof value === "number" ? value : undefined;
};

/** Whether the time before the first attempt alone made the difference. */
const isLateByWaiting = (story: RequestStory, excess: number): boolean => {
  const first = story.lines.find(({ event }) => event === "placed");
  return (getNumber(first, "afterMs") ?? 0) >= excess;
};

const judgeDelay = (story: RequestStory, excess: number, otherwise: Delay): Delay => {
  if (isLateByWaiting(story, excess)) return "waiting";
  return hasLine(story, "retry") ? "repeat" : otherwise;
};

const judgeWholeStream = (story: RequestStory, end: TimedLine): Cause => {
  if ((getNumber(end, "bytesLeft") ?? 0) > 0) return { kind: "ended_within_event" };
  const firstAfter = getNumber(end, "firstEventAfter") ?? 0;
  const excess = firstAfter - (getNumber(end, "aimMs") ?? Infinity);
  if (excess > 0) return { kind: "late", by: judgeDelay(story, excess, "prompt") };
  const pause = getNumber(end, "longestPause") ?? 0;
  const isPaused = pause > (getNumber(end, "pauseAimMs") ?? Infinity);
  return isPaused ? { kind: "late", by: "pause" } : { kind: "served" };
};

const judgeAnswered = (story: RequestStory, end: TimedLine): Cause => {
  if ((getNumber(end, "status") ?? 0) >= FIRST_FAILURE_STATUS)
    return { kind: "server_failed", how: "own_failure" };
  const excess = (getNumber(end, "afterMs") ?? 0) - (getNumber(end, "aimMs") ?? Infinity);
  if (excess <= 0) return { kind: "served" };
  return { kind: "late", by: judgeDelay(story, excess, "server") };
};

const judgeRefused = ({ fields }: TimedLine): Cause => {
  const reason = typeof fields["reason"] === "string" ? fields["reason"] : "untold";
  if (ANSWER_LOST_REASONS.has(reason))
    return { kind: "server_failed", how: "answer_lost" };
  if (reason === OUT_OF_TIME_REASON) return { kind: "out_of_time" };
  return { kind: "refused", reason };
};

const judgeProgress = (
  story: RequestStory,
  happenings: readonly TimedLine[],
): MoveProgress => {
  if (hasLine(story, "copied") || hasLine(story, "standby_kept")) return "after_copy";
  if (hasLine(story, "move_begun")) return "before_copy";
  const server = findLast(story, "stream_lost")?.fields["server"];
  const isTold = happenings.some(
    ({ box, event, fields }) =>
      box === story.run.box &&
      (event === "evacuation" || event === "server_leaving") &&
      fields["server"] === server,
  );
  return isTold ? "before_copy" : "unannounced";
};

/** The box ended without having ended the request, unless it goes on or the lines themselves end. */
const judgeUnended = ({ run }: RequestStory, endsAt: Ms): Cause => {
  if (run.isFollowed || run.isStopped) return { kind: "box_ended" };
  if (endsAt - run.endsAt > SILENT_BOX_MS) return { kind: "box_ended" };
  return { kind: "still_open" };
};

/** Long enough for any request's end to be written: the longest that callers wait for one. */
const LONGEST_REQUEST_MS = 60_000;

const isForgotten = ({ run, lines }: RequestStory): boolean =>
  run.endsAt - lines.at(-1)!.sharedAt > LONGEST_REQUEST_MS;

const END_EVENTS = [
  "stream_ended",
  "answered",
  "refused",
  "stream_lost",
  "client_left",
] as const;
type EndLine = TimedLine & Readonly<{ event: (typeof END_EVENTS)[number] }>;

const isEnd = (line: TimedLine): line is EndLine =>
  (END_EVENTS as readonly string[]).includes(line.event);

const judgeEnded = (
  story: RequestStory,
  end: EndLine,
  happenings: readonly TimedLine[],
): Cause => {
  switch (end.event) {
    case "stream_ended":
      return judgeWholeStream(story, end);
    case "answered":
      return judgeAnswered(story, end);
    case "refused":
      return judgeRefused(end);
    case "stream_lost":
      return { kind: "engine_ended", progress: judgeProgress(story, happenings) };
    case "client_left":
      return { kind: "client_left" };
  }
};

/** Judges a request by its lines and, for a stream whose engine ended, by what its box knew of the engine. */
export const judgeCause = (
  story: RequestStory,
  { happenings, endsAt }: Pick<Chronicle, "happenings" | "endsAt">,
): Cause => {
  const end = story.lines.findLast(isEnd);
  if (end) return judgeEnded(story, end, happenings);
  if (hasLine(story, "out_of_time")) return { kind: "out_of_time" };
  return isForgotten(story) ? { kind: "unexplained" } : judgeUnended(story, endsAt);
};

/** A cause in a few words, for tables and pictures. */
export const describeCause = (cause: Cause): string => {
  switch (cause.kind) {
    case "late":
      return `late: ${cause.by}`;
    case "refused":
      return `refused: ${cause.reason}`;
    case "server_failed":
      return `server failed: ${cause.how.replaceAll("_", " ")}`;
    case "engine_ended":
      return `engine ended: ${cause.progress.replaceAll("_", " ")}`;
    case "ended_within_event":
      return "engine ended: within an event";
    case "served":
    case "out_of_time":
    case "box_ended":
    case "client_left":
    case "never_reached":
    case "still_open":
    case "unexplained":
      return cause.kind.replaceAll("_", " ");
  }
};
