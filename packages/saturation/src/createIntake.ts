/**
 * The intake of a box: whether it has the processor time that its work needs, and whether it takes one more connection.
 * A connection that is closed unread lets its client try another box at once; a request that is read and not
 * answered in time is lost for its client.
 */
import type { Clock, Ms } from "@stairgauge/common";
import { isCatchingUp, type Backlog, type UnreadReason } from "./backlog.js";
import { computeFirstLimit, computeNextLimit, type IntakeLimit } from "./intakeLimit.js";
import { decideSaturation, ENOUGH } from "./saturation.js";
import { createUnreadReport } from "./createUnreadReport.js";
import type { LoopWindow, SaturationEvent } from "./types.js";

/** Options of an intake. */
export type IntakeOptions = Readonly<{
  clock: Pick<Clock, "monotonic">;
  /** Requests that this box works on, and connections that have sent none yet. */
  countOpen: () => number;
  /** Reads how many connections wait to be read. */
  readBacklog: () => Backlog;
  onEvent: (event: SaturationEvent) => void;
}>;

/** The intake of one box. */
export type Intake = Readonly<{
  /** Handles the next window of the event loop. */
  applyWindow: (window: LoopWindow) => void;
  /** Whether the box lacks processor time. */
  isShort: () => boolean;
  /** Whether the box may work on one more request. */
  hasRoom: () => boolean;
  /** A connection was closed unread after this time. */
  recordTurnedAway: (reason: UnreadReason, waited: Ms) => void;
}>;

/** Creates the intake of a box that has enough processor time. */
export const createIntake = (options: IntakeOptions): Intake => {
  const { clock, countOpen, readBacklog, onEvent } = options;
  let state = ENOUGH;
  let changedAt = clock.monotonic();
  let limit: IntakeLimit | undefined;
  /** Connections closed unread in this window, and since the box became short. */
  let turnedAway = 0;
  let turnedAwayInAll = 0;
  /** Connections that waited at the end of the last window. */
  let countBefore = 0;
  const report = createUnreadReport({ clock, onEvent });

  const startLimit = (window: LoopWindow, open: number) => {
    limit = computeFirstLimit({ ...window, open });
    turnedAwayInAll = 0;
    onEvent({ kind: "processor_short", ...window, open, maxOpen: limit.maxOpen });
  };
  const endLimit = (window: LoopWindow, open: number) => {
    limit = undefined;
    const shortFor = (clock.monotonic() - changedAt) as Ms;
    const counts = { open, turnedAway: turnedAwayInAll };
    onEvent({ kind: "processor_enough", ...window, ...counts, shortFor });
  };

  return {
    applyWindow: (window) => {
      const { busyShare } = window;
      const isHeldBack = turnedAway > 0;
      const open = countOpen();
      const before = state.kind;
      const backlog = readBacklog();
      const isInBurst = isCatchingUp(backlog, countBefore, isHeldBack);
      countBefore = backlog.count;
      turnedAway = 0;
      report.flush();
      state = decideSaturation(state, { busyShare, isHeldBack, isInBurst });
      if (state.kind === before) {
        limit &&= computeNextLimit(limit, { ...window, open, isHeldBack });
        return;
      }
      if (state.kind === "short") startLimit(window, open);
      else endLimit(window, open);
      changedAt = clock.monotonic();
    },
    isShort: () => state.kind === "short",
    hasRoom: () => limit === undefined || countOpen() < limit.maxOpen,
    recordTurnedAway: (reason, waited) => {
      turnedAway += 1;
      turnedAwayInAll += 1;
      report.record(reason, waited);
    },
  };
};
