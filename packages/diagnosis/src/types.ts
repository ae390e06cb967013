/** Types for log lines, the timeline of all boxes and the causes of requests' ends. */
import type { Ms } from "@stairgauge/common";

/** One parsed log line of a box. */
export type LogLine = Readonly<{
  box: string;
  /** Monotonic clock of the box; comparable within one run of its process only. */
  at: Ms;
  /** Time of day; undefined if the line has none. It may jump when the clock is set. */
  time: Ms | undefined;
  event: string;
  /** Id of the request; undefined for an event of the box itself. */
  request: string | undefined;
  /** All other fields of the line. */
  fields: Readonly<Record<string, unknown>>;
}>;

/** Why a line is unusable. */
export type LineFault =
  /** No JSON object: an empty line, or one of another program. */
  | "no_object"
  /** The JSON object is truncated or invalid. */
  | "broken_object"
  /** A JSON object without the fields that every log line of a box has. */
  | "foreign_object";

/** One run of a box's process. */
export type BoxRun = Readonly<{
  box: string;
  /** Times of its first and last log line, on the common time of all boxes. */
  beginsAt: Ms;
  endsAt: Ms;
  /** It logged that it stopped. */
  isStopped: boolean;
  /** A later run of the same box is in the log. */
  wasRestarted: boolean;
}>;

/** A log line with the time at which it was written, on the common time of all boxes. */
export type TimedLine = LogLine & Readonly<{ timelineAt: Ms }>;

/** All log lines of one request from one run of a box. */
export type RequestLog = Readonly<{
  request: string;
  run: BoxRun;
  lines: readonly TimedLine[];
}>;

/** The log lines of all boxes on a common time. */
export type Timeline = Readonly<{
  requestLogs: readonly RequestLog[];
  /** Lines without a request id, in order of time. */
  happenings: readonly TimedLine[];
  beginsAt: Ms;
  endsAt: Ms;
  /** Number of lines that the boxes dropped to bound their logs, as they report it. */
  droppedLines: number;
}>;

/** Why an answer was late. */
export type Delay = "waiting" | "prompt" | "pause" | "repeat" | "lost_path" | "server";

/** How far the move of a stream to another engine was when its engine ended. */
export type MoveProgress =
  /** The end of the engine was not announced. */
  | "unannounced"
  /** The end was announced, but no copy of the stream's state was complete. */
  | "before_copy"
  /** A copy was complete, but the stream could not continue from it. */
  | "after_copy";

/** How a request ended and why; each request has exactly one cause. */
export type Cause = Readonly<
  | { kind: "served" }
  | { kind: "late"; by: Delay }
  /** Refused by the box; `reason` is the one in the log line, or `untold` if it has none. */
  | { kind: "refused"; reason: string }
  /** Refused by the box for lack of capacity. */
  | { kind: "no_capacity"; reason: "no_room" | "too_late" }
  | { kind: "server_failed"; how: "own_failure" | "answer_lost" }
  | { kind: "out_of_time" }
  /** The box had lost its path to the servers, and no other box carried the request. */
  | { kind: "lost_path" }
  | { kind: "engine_ended"; progress: MoveProgress }
  /** The stream ended in the middle of an event, and the box counted it as complete. */
  | { kind: "ended_within_event" }
  /** The box ended while the request was open. */
  | { kind: "box_ended" }
  | { kind: "client_left" }
  /** A caller sent the request, but no box logged it. */
  | { kind: "never_reached" }
  /** The log stops before the request ended. */
  | { kind: "still_open" }
  /** The box kept running, but never logged the end of the request. */
  | { kind: "unexplained" }
>;

/** A request with its route and its cause. */
export type RequestAccount = Readonly<{
  request: string;
  /** Name of its route; a placeholder if it has none. */
  route: string;
  cause: Cause;
  /** Full seconds from the first log line of all boxes to the request's first line. */
  second: number;
}>;
