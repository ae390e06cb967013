/** Determines from its log lines why a request ended as it did. Pure. */
import type { Ms } from "@stairgauge/common";
import type {
  Cause,
  Timeline,
  Delay,
  MoveProgress,
  RequestLog,
  TimedLine,
} from "./types.js";

/** A box that logs nothing for this long while others do has ended: under load each box writes several lines per second. */
const MAX_BOX_SILENCE_MS = 2_000;

const FIRST_FAILURE_STATUS = 400;

/** Reasons of refusals after a server received the request but its answer is unusable. */
const ANSWER_LOST_REASONS: ReadonlySet<unknown> = new Set([
  "answer_lost",
  "no_server_left",
]);
/** A refusal with another status is of a request that may have run. */
const NOT_RUN_STATUS = 503;
const OUT_OF_TIME_REASON = "out_of_time";
const STOPPING_REASON = "box_is_stopping";

const findLast = (requestLog: RequestLog, event: string): TimedLine | undefined =>
  requestLog.lines.findLast((line) => line.event === event);
const hasLine = (requestLog: RequestLog, event: string): boolean =>
  findLast(requestLog, event) !== undefined;
const getNumber = (line: TimedLine | undefined, field: string): number | undefined => {
  const value = line?.fields[field];
  return typeof value === "number" ? value : undefined;
};

/** Whether the wait before the first attempt is at least as long as the excess over the target. */
const isLateByWaiting = (requestLog: RequestLog, excess: number): boolean => {
  const first = requestLog.lines.find(({ event }) => event === "placed");
  return (getNumber(first, "afterMs") ?? 0) >= excess;
};

const classifyDelay = (
  requestLog: RequestLog,
  excess: number,
  otherwise: Delay,
): Delay => {
  if (isLateByWaiting(requestLog, excess)) return "waiting";
  if (hasLine(requestLog, "carried")) return "lost_path";
  return hasLine(requestLog, "retry") ? "repeat" : otherwise;
};

const classifyEndedStream = (requestLog: RequestLog, end: TimedLine): Cause => {
  if ((getNumber(end, "bytesLeft") ?? 0) > 0) return { kind: "ended_within_event" };
  const firstAfter = getNumber(end, "firstEventAfter") ?? 0;
  const excess = firstAfter - (getNumber(end, "aimMs") ?? Infinity);
  if (excess > 0)
    return { kind: "late", by: classifyDelay(requestLog, excess, "prompt") };
  const pause = getNumber(end, "longestPause") ?? 0;
  const isPaused = pause > (getNumber(end, "pauseAimMs") ?? Infinity);
  return isPaused ? { kind: "late", by: "pause" } : { kind: "served" };
};

const classifyAnswered = (requestLog: RequestLog, end: TimedLine): Cause => {
  if ((getNumber(end, "status") ?? 0) >= FIRST_FAILURE_STATUS)
    return { kind: "server_failed", how: "own_failure" };
  const excess = (getNumber(end, "afterMs") ?? 0) - (getNumber(end, "aimMs") ?? Infinity);
  if (excess <= 0) return { kind: "served" };
  return { kind: "late", by: classifyDelay(requestLog, excess, "server") };
};

/** End of a failure's detail if the box could not find out whether others reach the server. */
const NOT_CONFIRMED = "not confirmed by another box";

const classifyRefused = ({ fields }: TimedLine): Cause => {
  const { detail } = fields;
  if (typeof detail === "string" && detail.endsWith(NOT_CONFIRMED))
    return { kind: "lost_path" };
  const reason = typeof fields["reason"] === "string" ? fields["reason"] : "untold";
  if (ANSWER_LOST_REASONS.has(reason))
    return { kind: "server_failed", how: "answer_lost" };
  if (reason === OUT_OF_TIME_REASON) return { kind: "out_of_time" };
  const { status } = fields;
  if (reason === STOPPING_REASON && status !== undefined && status !== NOT_RUN_STATUS)
    return { kind: "box_ended" };
  const isForCapacity = reason === "no_room" || reason === "too_late";
  if (!isForCapacity || status === undefined) return { kind: "refused", reason };
  return status === NOT_RUN_STATUS
    ? { kind: "no_capacity", reason }
    : { kind: "server_failed", how: "answer_lost" };
};

const classifyMoveProgress = (
  requestLog: RequestLog,
  happenings: readonly TimedLine[],
): MoveProgress => {
  if (hasLine(requestLog, "copied") || hasLine(requestLog, "standby_kept"))
    return "after_copy";
  if (hasLine(requestLog, "move_begun")) return "before_copy";
  const server = findLast(requestLog, "stream_lost")?.fields["server"];
  const wasAnnounced = happenings.some(
    ({ box, event, fields }) =>
      box === requestLog.run.box &&
      (event === "evacuation" || event === "server_leaving") &&
      fields["server"] === server,
  );
  return wasAnnounced ? "before_copy" : "unannounced";
};

/** Classifies a request without an end line: its box ended, or the log stops while the request is still open. */
const classifyWithoutEnd = ({ run }: RequestLog, endsAt: Ms): Cause => {
  if (run.wasRestarted || run.isStopped) return { kind: "box_ended" };
  if (endsAt - run.endsAt > MAX_BOX_SILENCE_MS) return { kind: "box_ended" };
  return { kind: "still_open" };
};

/** The longest that callers wait for a request; its end must have been logged by then. */
const MAX_REQUEST_MS = 60_000;

const isLastLineTooOld = ({ run, lines }: RequestLog): boolean =>
  run.endsAt - lines.at(-1)!.timelineAt > MAX_REQUEST_MS;

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

const classifyEnded = (
  requestLog: RequestLog,
  end: EndLine,
  happenings: readonly TimedLine[],
): Cause => {
  switch (end.event) {
    case "stream_ended":
      return classifyEndedStream(requestLog, end);
    case "answered":
      return classifyAnswered(requestLog, end);
    case "refused":
      return classifyRefused(end);
    case "stream_lost":
      return {
        kind: "engine_ended",
        progress: classifyMoveProgress(requestLog, happenings),
      };
    case "client_left":
      return { kind: "client_left" };
  }
};

/** Classifies a request by its log lines and, for a stream whose engine ended, by the box's events about that engine. */
export const classifyCause = (
  requestLog: RequestLog,
  { happenings, endsAt }: Pick<Timeline, "happenings" | "endsAt">,
): Cause => {
  const end = requestLog.lines.findLast(isEnd);
  if (end) return classifyEnded(requestLog, end, happenings);
  if (hasLine(requestLog, "out_of_time")) return { kind: "out_of_time" };
  if (hasLine(requestLog, "stop_reached")) return { kind: "box_ended" };
  return isLastLineTooOld(requestLog)
    ? { kind: "unexplained" }
    : classifyWithoutEnd(requestLog, endsAt);
};

/** Texts of reasons that say more than their names. */
const REFUSAL_TEXTS: Readonly<Record<string, string>> = {
  origin_not_known: "its software version was not known here",
  no_server_of_version: "no server of its software version",
};

/** Describes a cause in a few words, for tables and plots. */
export const describeCause = (cause: Cause): string => {
  switch (cause.kind) {
    case "late":
      return `late: ${cause.by.replaceAll("_", " ")}`;
    case "refused":
      return `refused: ${REFUSAL_TEXTS[cause.reason] ?? cause.reason}`;
    case "no_capacity":
      return `no capacity: ${cause.reason.replaceAll("_", " ")}`;
    case "server_failed":
      return `server failed: ${cause.how.replaceAll("_", " ")}`;
    case "engine_ended":
      return `engine ended: ${cause.progress.replaceAll("_", " ")}`;
    case "ended_within_event":
      return "engine ended: within an event";
    case "served":
    case "out_of_time":
    case "lost_path":
    case "box_ended":
    case "client_left":
    case "never_reached":
    case "still_open":
    case "unexplained":
      return cause.kind.replaceAll("_", " ");
  }
};
