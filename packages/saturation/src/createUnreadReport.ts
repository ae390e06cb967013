/** Sums up the connections that were closed unread, for an event at most once a second. */
import type { Clock, Ms } from "@stairgauge/common";
import type { UnreadReason } from "./backlog.js";
import { REPORT_INTERVAL_MS } from "./constants.js";
import type { ClosedUnread, SaturationEvent } from "./types.js";

const NONE: ClosedUnread = {
  no_room: 0,
  waited_too_long: 0,
  out_of_reach: 0,
  longestWait: 0 as Ms,
};

/** Options of a report. */
export type UnreadReportOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  onEvent: (event: SaturationEvent) => void;
}>;

/** Creates a report of no connections. */
export const createUnreadReport = ({ clock, onEvent }: UnreadReportOptions) => {
  let closed = NONE;
  let reportedAt = -Infinity;
  return {
    record: (reason: UnreadReason, waited: Ms): void => {
      const longestWait = Math.max(closed.longestWait, waited) as Ms;
      closed = { ...closed, [reason]: closed[reason] + 1, longestWait };
    },
    /** Emits an event if connections were closed and the last one is long enough ago. */
    flush: (): void => {
      const now = clock.monotonic();
      if (closed === NONE || now - reportedAt < REPORT_INTERVAL_MS) return;
      onEvent({ kind: "connections_closed_unread", ...closed });
      closed = NONE;
      reportedAt = now;
    },
  };
};
