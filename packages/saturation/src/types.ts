/** How busy a box is, and whether it lacks processor time. */
import type { Ms } from "@stairgauge/common";
import type { UnreadReason } from "./backlog.js";

/** What the process has used so far. */
export type LoopReading = Readonly<{
  at: Ms;
  /** Time in which the event loop had nothing to do, in ms. */
  idle: number;
  /** Turns of the event loop. */
  turns: number;
  /** Processor time of all threads of the process, in ms. */
  processor: number;
}>;

/** How busy the event loop was for a while. */
export type LoopWindow = Readonly<{
  lasted: Ms;
  /** Share of the time in which the event loop was not idle, from 0 to 1. It includes the time in which the process did not run. */
  busyShare: number;
  /** Mean time that a turn of the event loop was busy for. */
  turnTime: Ms;
  /** Processor time that the process got, as a share of one processor. */
  processorShare: number;
}>;

/** A change of whether the box has enough processor time. */
export type SaturationEvent = Readonly<
  /** `open`: requests that are open; `maxOpen`: how many the box works on at once from now on. */
  | ({ kind: "processor_short"; open: number; maxOpen: number } & LoopWindow)
  /** `turnedAway`: connections that were closed unread while it lasted. */
  | ({
      kind: "processor_enough";
      open: number;
      turnedAway: number;
      shortFor: Ms;
    } & LoopWindow)
  | ({ kind: "connections_closed_unread" } & ClosedUnread)
>;

/** Connections that were closed unread: how many for each reason, and for how long the longest one had waited. */
export type ClosedUnread = Readonly<Record<UnreadReason, number> & { longestWait: Ms }>;
