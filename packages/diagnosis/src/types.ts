/** What boxes' log lines tell of requests, in the words of this package. */
import type { Ms } from "@stairgauge/common";

/** One line that a box wrote. */
export type LogLine = Readonly<{
  box: string;
  /** Steady clock of the box; comparable within one run of its process only. */
  at: Ms;
  /** Time of day, where the line has it; it may jump. */
  time: Ms | undefined;
  event: string;
  request: string | undefined;
  /** Whatever else the line holds. */
  fields: Readonly<Record<string, unknown>>;
}>;

/** Why a line could not be used. */
export type LineFault =
  /** Holds no JSON object: another program's line, or an empty one. */
  | "no_object"
  /** Its object is cut off or otherwise broken. */
  | "broken_object"
  /** An object, but without the fields that each line of a box has. */
  | "foreign_object";

/** One run of a box's process, from its start to its end as far as the lines tell. */
export type BoxRun = Readonly<{
  box: string;
  /** Points on the time that all boxes share. */
  beginsAt: Ms;
  endsAt: Ms;
  /** It said that it has stopped. */
  isStopped: boolean;
  /** The box started anew after it. */
  isFollowed: boolean;
}>;

/** A line and when it was written, on the time that all boxes share. */
export type TimedLine = LogLine & Readonly<{ sharedAt: Ms }>;

/** All that one run of a box wrote of one request. */
export type RequestStory = Readonly<{
  request: string;
  run: BoxRun;
  lines: readonly TimedLine[];
}>;

/** All lines, in order. */
export type Chronicle = Readonly<{
  stories: readonly RequestStory[];
  /** Lines that are about no request. */
  happenings: readonly TimedLine[];
  beginsAt: Ms;
  endsAt: Ms;
  /** Lines that boxes say they left out. */
  leftOut: number;
}>;

/** What made an answer late. */
export type Delay = "waiting" | "prompt" | "pause" | "repeat" | "server";

/** How far a stream's move had come when its engine ended. */
export type MoveProgress =
  /** Nobody was told that the engine would go. */
  | "unannounced"
  /** It was known to go, and no copy was through. */
  | "before_copy"
  /** A copy was there, but the stream could not go on from it. */
  | "after_copy";

/** The one cause that a request is counted under. */
export type Cause = Readonly<
  | { kind: "served" }
  | { kind: "late"; by: Delay }
  /** The system's own answer, by the reason in its line. */
  | { kind: "refused"; reason: string }
  | { kind: "server_failed"; how: "own_failure" | "answer_lost" }
  | { kind: "out_of_time" }
  | { kind: "engine_ended"; progress: MoveProgress }
  /** The box took the stream for whole though bytes of an event were left whose end had not come. */
  | { kind: "ended_within_event" }
  /** The box ended with the request open. */
  | { kind: "box_ended" }
  | { kind: "client_left" }
  /** Its caller sent it, and no box wrote of it. */
  | { kind: "never_reached" }
  /** The lines end first. */
  | { kind: "still_open" }
  /** The lines do not tell. */
  | { kind: "unexplained" }
>;

/** One request, its kind and its cause. */
export type RequestAccount = Readonly<{
  request: string;
  /** Name of its route; of a request without one, a stand-in. */
  route: string;
  cause: Cause;
  /** Full seconds since the first line. */
  second: number;
}>;
