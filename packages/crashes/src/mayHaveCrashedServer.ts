/** Decides whether a request can have crashed its server. Pure. */
import type { Ms } from "@stairgauge/common";
import { MAX_FATAL_RUN_MS, MAX_FATAL_EVENTS } from "./constants.js";

/** The progress of a request when its server broke it off. */
export type InterruptedRun = Readonly<{
  /** Time since the server began to answer; undefined if it had not begun. */
  ranFor: Ms | undefined;
  /** Number of events that the server had sent for the request. */
  events: number;
}>;

/** Returns whether the request had only just begun. One that had run for longer did not cause the crash. */
export const mayHaveCrashedServer = ({ ranFor, events }: InterruptedRun): boolean =>
  (ranFor ?? 0) <= MAX_FATAL_RUN_MS && events <= MAX_FATAL_EVENTS;
