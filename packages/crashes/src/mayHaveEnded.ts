/** Whether a request can be what ended its server. Pure. */
import type { Ms } from "@stairgauge/common";
import { LONGEST_FATAL_RUN_MS, MAX_FATAL_EVENTS } from "./constants.js";

/** How far a request had come when its server ended. */
export type BrokenRun = Readonly<{
  /** Time since the server began to answer it; none where it had not. */
  ranFor: Ms | undefined;
  /** Events that the server had made of it. */
  events: number;
}>;

/** A request that was well under way was only aboard. */
export const mayHaveEnded = ({ ranFor, events }: BrokenRun): boolean =>
  (ranFor ?? 0) <= LONGEST_FATAL_RUN_MS && events <= MAX_FATAL_EVENTS;
